"""Lifecycle, outcome and audit trail of requests."""
