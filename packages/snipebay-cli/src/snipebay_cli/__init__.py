"""The snipebay operator client."""
