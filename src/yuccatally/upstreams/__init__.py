"""Clients of engines and services."""
