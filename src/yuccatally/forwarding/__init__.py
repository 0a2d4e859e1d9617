"""Forwarding of client requests to upstreams that process them entirely."""
