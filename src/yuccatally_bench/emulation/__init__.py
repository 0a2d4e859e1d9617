"""Emulates engines and instances that run the decisions of the core."""
