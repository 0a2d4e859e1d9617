"""Decision which requests run, and in which order."""
