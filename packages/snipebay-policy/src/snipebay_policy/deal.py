"""Deals the slots of backend servers out to entry instances.

Source: rendezvous hashing (Thaler and Ravishankar, 1998) with a bound on the
load of each owner (Mirrokni et al., 2018), so that a change of the owners
moves few slots.
"""

import hashlib
import itertools
import math

import attrs

__all__ = ["Slot", "deal_slots"]


@attrs.frozen(order=True)
class Slot:
    """The right to run one request at a time on a backend server."""

    backend_id: str
    number: int


def deal_slots(view, region):
    """Return the owner of each slot in a region.

    Slots go to entry instances of the backend server's own region: these keep
    them while cut off from control together with it. A region without entry
    instances has no owners.

    Args:
        view: The view to deal by.
        region: The region.
    """
    entries = {
        row.entry_id: row.domain
        for row in view.entries
        if row.region == region and not row.leaving
    }
    if not entries:
        return {}
    rows = sorted(
        (row for row in view.backends if row.is_open and row.region == region),
        key=lambda row: row.service,
    )
    owners = {}
    for _, group in itertools.groupby(rows, lambda row: row.service):
        owners.update(_deal_group(list(group), entries))
    return owners


def _deal_group(backends, entries):
    """Return the owners of the slots of one service in one region.

    Owners in the backend server's own failure domain come first: a slot is
    taken while a request is on the way, so a short way makes more of it.
    """
    slots = [
        (Slot(row.backend_id, number), row.domain)
        for row in backends
        for number in range(row.slots)
    ]
    room = dict.fromkeys(entries, math.ceil(len(slots) / len(entries)))
    owners = {}
    for slot, domain in slots:
        with_room = [entry_id for entry_id in entries if room[entry_id]]
        owner = min(
            with_room, key=lambda e, s=slot, d=domain: (entries[e] != d, _rank(e, s))
        )
        room[owner] -= 1
        owners[slot] = owner
    return owners


def _rank(entry_id, slot):
    """Return where an entry instance stands in the order of a slot."""
    text = f"{entry_id}/{slot.backend_id}/{slot.number}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
