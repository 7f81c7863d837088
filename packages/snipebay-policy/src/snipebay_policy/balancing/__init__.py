"""Decisions that spread requests over backend servers which differ in load and pace."""
