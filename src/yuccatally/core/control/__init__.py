"""Placement control: engines are ordered under a lease."""
