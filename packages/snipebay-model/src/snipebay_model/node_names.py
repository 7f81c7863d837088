"""Names of control nodes, which are an instance id, ``#`` and an incarnation."""

__all__ = ["instance_id_of"]


def instance_id_of(node):
    """Return the instance id of a node name; an instance id is returned as it is."""
    return node.partition("#")[0]
