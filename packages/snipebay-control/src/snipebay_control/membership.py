"""Decides which control instances vote, one change at a time."""

__all__ = ["CATCH_UP_ENTRIES", "instance_id_of", "next_members"]

CATCH_UP_ENTRIES = 64


def instance_id_of(node):
    """Return the instance id in a node name ``id#incarnation``."""
    return node.partition("#")[0]


def next_members(
    members, joining, match_index, last_index, is_heard, is_gone, voters_least
):
    """Return the member table after the next single change, or None.

    An instance that lost its disk joins under a new incarnation: it first
    learns, then votes, and only then its old incarnation is removed, so that
    no step leaves fewer voters with the data than before.

    Args:
        members: Node to whether it votes.
        joining: Nodes that said hello with an empty disk.
        match_index: Function from node to the last index stored there.
        last_index: Last index of the leader's log.
        is_heard: Function from node to whether it answered lately.
        is_gone: Function from node to whether it has been silent for so long
            that it counts as lost. One that returns joins again.
        voters_least: Number of voters below which none is given up as lost.
    """
    for node in sorted(joining):
        if node not in members:
            return {**members, node: False}
    for node, voter in sorted(members.items()):
        caught_up = match_index(node) + CATCH_UP_ENTRIES >= last_index
        if not voter and caught_up and match_index(node) > 0:
            return {**members, node: True}
    for node, voter in sorted(members.items()):
        replaced = [
            other
            for other in members
            if other != node
            and instance_id_of(other) == instance_id_of(node)
            and not is_heard(other)
        ]
        if voter and is_heard(node) and replaced:
            return _without(members, replaced[0])
    spare = sum(members.values()) - voters_least
    for node, voter in sorted(members.items()):
        if is_gone(node) and (spare > 0 or not voter):
            return _without(members, node)
    return None


def _without(members, node):
    return {n: voter for n, voter in members.items() if n != node}
