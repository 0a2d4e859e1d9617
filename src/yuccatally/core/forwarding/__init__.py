"""Decisions about requests that are forwarded to upstreams."""
