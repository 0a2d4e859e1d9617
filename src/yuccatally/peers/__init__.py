"""Exchange of messages between instances."""
