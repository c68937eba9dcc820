"""Checks of what labs observed, without I/O."""
