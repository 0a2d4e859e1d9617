"""Wiring of one instance."""
