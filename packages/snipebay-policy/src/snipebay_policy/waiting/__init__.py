"""Decisions on requests that wait for a slot; each module names its load pattern."""
