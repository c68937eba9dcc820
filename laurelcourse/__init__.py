"""Shifts calls between an old and a new build, and rolls a bad build back."""

VERSION = "0.1.0"
