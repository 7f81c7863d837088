"""Chooses the next single-server membership change of the control group."""

from snipebay_model.node_names import instance_id_of

__all__ = ["MAX_PROMOTION_LAG_ENTRIES", "next_members"]

MAX_PROMOTION_LAG_ENTRIES = 64


def next_members(
    members, joining, match_index, last_index, is_responsive, is_unreachable, min_voters
):
    """Return the member table after the next change, or None if none is due.

    An instance that lost its disk joins under a new incarnation: as a learner,
    then as a voter. Only then is its old incarnation removed, so that no step
    reduces the number of voters that store the log.

    Args:
        members: Table of node to whether it is a voter.
        joining: Nodes that asked to join with an empty disk.
        match_index: Function from node to its match index.
        last_index: Last index of the leader's log.
        is_responsive: Function from node to whether it acknowledged the leader
            recently.
        is_unreachable: Function from node to whether it missed heartbeats for so
            long that it may be removed. One that returns joins again.
        min_voters: Number of voters below which no unreachable voter is removed.
    """
    for node in sorted(joining):
        if node not in members:
            return {**members, node: False}
    for node, voter in sorted(members.items()):
        caught_up = match_index(node) + MAX_PROMOTION_LAG_ENTRIES >= last_index
        if not voter and caught_up and match_index(node) > 0:
            return {**members, node: True}
    for node, voter in sorted(members.items()):
        replaced = [
            other
            for other in members
            if other != node
            and instance_id_of(other) == instance_id_of(node)
            and not is_responsive(other)
        ]
        if voter and is_responsive(node) and replaced:
            return _without(members, replaced[0])
    removable_voters = sum(members.values()) - min_voters
    for node, voter in sorted(members.items()):
        if is_unreachable(node) and (removable_voters > 0 or not voter):
            return _without(members, node)
    return None


def _without(members, node):
    return {n: voter for n, voter in members.items() if n != node}
