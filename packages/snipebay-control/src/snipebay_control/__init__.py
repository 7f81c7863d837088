"""Replicated control state of snipebay, without I/O."""
