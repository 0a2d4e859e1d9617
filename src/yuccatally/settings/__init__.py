"""Settings of one instance."""
