"""Batching and supervision of steps on one engine."""
