"""Runtime of a snipebay instance: network, storage, logs and metrics."""
