"""Emulator of engines that pass requests on, driven by the core's decisions."""
