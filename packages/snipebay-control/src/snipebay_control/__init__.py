"""Pure replicated control state of snipebay."""
