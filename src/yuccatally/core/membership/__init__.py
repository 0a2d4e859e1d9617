"""Which instances are alive, leaving or suspected."""
