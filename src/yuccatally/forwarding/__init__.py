"""Forwarding of requests to upstreams that answer them whole."""
