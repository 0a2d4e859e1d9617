"""Configuration of one instance and its propagation."""
