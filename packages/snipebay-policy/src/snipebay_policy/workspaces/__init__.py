"""Decisions on workspaces: their keys, quotas and fair parts under load."""
