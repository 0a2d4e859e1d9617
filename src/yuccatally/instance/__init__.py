"""Composition of the core and its adapters into one instance."""
