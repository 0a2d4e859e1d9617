"""At-most-once claims for calls that may not be repeated."""
