"""Traffic steering decisions of snipebay, free of I/O."""
