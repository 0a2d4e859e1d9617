"""Production of one answer over several attempts."""
