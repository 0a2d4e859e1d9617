"""Kinds of objects that operators declare."""
