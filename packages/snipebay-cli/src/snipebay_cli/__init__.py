"""Command line client for operators of snipebay."""
