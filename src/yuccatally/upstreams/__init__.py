"""Clients of upstreams: engines and HTTP services."""
