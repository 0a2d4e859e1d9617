"""Generation of one answer over one or more attempts."""
