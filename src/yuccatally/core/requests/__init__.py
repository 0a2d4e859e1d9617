"""Life cycle and outcome of requests."""
