"""Stand-ins, load tool, benches and proofs of snipebay."""
