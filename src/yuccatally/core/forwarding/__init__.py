"""Decisions on requests that upstreams answer whole and on their own."""
