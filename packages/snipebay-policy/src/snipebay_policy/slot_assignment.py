"""Deals the slots of backend servers out to entry instances.

Source: rendezvous hashing (Thaler and Ravishankar, 1998), so that a change
moves few slots.
"""

import hashlib

import attrs

__all__ = ["Slot", "assign_slots", "rendezvous_rank"]


@attrs.frozen(order=True)
class Slot:
    """The right to run one request at a time on a backend server."""

    backend_id: str
    number: int


def assign_slots(view, region):
    """Return the owner of each slot in a region.

    Slots go to entry instances of the backend server's own region: these keep
    them while cut off from control together with it. A region without entry
    instances has no owners.

    Args:
        view: The view to deal by.
        region: The region.
    """
    entries = [row for row in view.entries if row.region == region and not row.leaving]
    owners = {}
    if entries:
        for row in view.backends:
            if row.is_open and row.region == region:
                owners.update(_deal_backend(row, entries))
    return owners


def _deal_backend(backend, entries):
    """Return the owners of one backend server's slots.

    Each backend server is dealt by itself, so that one that comes or goes moves
    no slot of another. Its own failure domain comes first: a slot is taken
    while a request is on the way, so a short way makes more of it.
    """
    near = [row.entry_id for row in entries if row.domain == backend.domain]
    names = near or [row.entry_id for row in entries]
    ranked = sorted(names, key=lambda name: rendezvous_rank(name, backend.backend_id))
    return {
        Slot(backend.backend_id, number): ranked[number % len(ranked)]
        for number in range(backend.slots)
    }


def rendezvous_rank(entry_id, backend_id):
    """Return where an entry instance stands in the order of a backend server."""
    text = f"{entry_id}/{backend_id}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
