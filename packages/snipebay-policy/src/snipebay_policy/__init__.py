"""Pure steering decisions of snipebay."""
