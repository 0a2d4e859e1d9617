"""Membership of instances: failure detection and the directory."""
