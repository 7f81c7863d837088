"""Assigns the slots of backend servers to entry instances.

Uses rendezvous hashing (Thaler and Ravishankar, 1998), so that a change of
membership moves few slots.
"""

import hashlib

import attrs

__all__ = ["Slot", "assign_slots", "rendezvous_rank"]


@attrs.frozen(order=True)
class Slot:
    """One unit of a backend server's concurrency: one request at a time."""

    backend_id: str
    number: int


def assign_slots(view, region):
    """Return the owner of each slot in a region.

    Slots go to entry instances of the backend server's own region, because these
    can still use them when the whole region is partitioned from control. In a
    region without entry instances no slot has an owner.

    Args:
        view: View that lists the backend servers and entry instances.
        region: Region whose slots are assigned.
    """
    entries = [row for row in view.entries if row.region == region and not row.leaving]
    owners = {}
    if entries:
        for row in view.backends:
            if row.is_open and row.region == region:
                owners.update(_assign_backend_slots(row, entries))
    return owners


def _assign_backend_slots(backend, entries):
    """Return the owners of one backend server's slots.

    Each backend server is assigned independently, so adding or removing one moves
    no slot of another. Entry instances in its failure domain take precedence: a
    request occupies its slot while in transit, so a short path raises throughput.
    """
    same_domain = [row.entry_id for row in entries if row.domain == backend.domain]
    candidates = same_domain or [row.entry_id for row in entries]
    ranked = sorted(
        candidates, key=lambda name: rendezvous_rank(name, backend.backend_id)
    )
    return {
        Slot(backend.backend_id, number): ranked[number % len(ranked)]
        for number in range(backend.slots)
    }


def rendezvous_rank(entry_id, backend_id):
    """Return the sort key of an entry instance for a backend server."""
    text = f"{entry_id}/{backend_id}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
