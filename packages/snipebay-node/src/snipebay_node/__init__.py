"""The snipebay daemon."""
