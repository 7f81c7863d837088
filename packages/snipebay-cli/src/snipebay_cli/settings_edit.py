"""Edits the text of a settings tree, keeping the lines that do not change."""

import io

from ruamel.yaml import YAML

__all__ = ["with_shift"]


def with_shift(text, service, source, target, share):
    """Return a settings text with one shift set, or removed if the share is 0."""
    yaml = YAML()
    # Keeps the operator's lines unchanged, so that the diff is short.
    yaml.width = 4_096
    yaml.indent(mapping=2, sequence=4, offset=2)
    tree = yaml.load(text)
    shifts = [
        row
        for row in tree.get("shifts") or []
        if (row["service"], row["source"], row["target"]) != (service, source, target)
    ]
    if share:
        shifts.append(
            {"service": service, "source": source, "target": target, "share": share}
        )
    tree["shifts"] = shifts
    stream = io.StringIO()
    yaml.dump(tree, stream)
    return stream.getvalue()
