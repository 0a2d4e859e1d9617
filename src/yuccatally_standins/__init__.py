"""Simulated external systems for tests and the demo."""
