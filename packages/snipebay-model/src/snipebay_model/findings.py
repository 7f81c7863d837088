"""Errors in a settings file, each with its position, reported together."""

import difflib

import attrs

__all__ = ["Finding", "Findings"]


@attrs.frozen
class Finding:
    """One error in a settings file.

    Attributes:
        source: File name.
        line: Line from 1.
        column: Column from 1.
        path: Path in the settings tree, such as
            ``services.emisor.rules.retries``.
        message: The constraint and the value that violates it.
    """

    source: str
    line: int
    column: int
    path: str
    message: str

    def __str__(self):
        place = f"{self.source}:{self.line}:{self.column}"
        return f"{place}: {self.path or '(top)'}: {self.message}"


@attrs.define
class Findings:
    """The errors found in one settings file, in the order of detection.

    Attributes:
        source: File name.
        rows: The findings.
    """

    source: str
    rows: list = attrs.Factory(list)

    def __bool__(self):
        return bool(self.rows)

    def __str__(self):
        return "\n".join(str(row) for row in self.rows)

    def add(self, node, path, message):
        """Record a finding at the position of a node."""
        self.rows.append(
            Finding(self.source, node.line, node.column, ".".join(path), message)
        )

    def add_unknown_key(self, node, path, key, known):
        """Record an unknown key and suggest the most similar known one."""
        matches = difflib.get_close_matches(str(key), sorted(known), n=1)
        hint = f", did you mean {matches[0]!r}?" if matches else ""
        self.add(node, (*path, str(key)), f"unknown key {key!r}{hint}")
