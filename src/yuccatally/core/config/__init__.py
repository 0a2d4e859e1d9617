"""The configuration in force on one instance."""
