"""Messages, settings and units shared by all snipebay packages."""
