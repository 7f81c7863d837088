"""Affinity tiers of backend servers for the keys of requests."""

import collections

from snipebay_policy.service_times import PRIMARY, SECONDARY
from snipebay_policy.slot_assignment import rendezvous_rank

__all__ = ["AffinityTiers"]

# Keys whose order of backend servers is cached, so that it is hashed only once.
MAX_RANKED_KEYS = 4_096
# Recently used keys whose data a backend server is assumed to have cached; in a trace,
# responses slowed down from the fifteenth key on.
CACHED_KEYS = 12


class AffinityTiers:
    """Primary and secondary backend servers of each key, by rendezvous hashing.

    Args:
        domain: Failure domain of this instance.
    """

    def __init__(self, domain):
        self.domain = domain
        self._ranks = {}

    def clear(self):
        """Forget the cached hashes, after members were removed."""
        self._ranks.clear()

    def find(self, service, members, key, key_count, near=(), spread=None):
        """Return affinity tiers for a key, by id, of members of one region.

        The members of a failure domain cache a share of the keys, which have a primary
        there, so that their requests don't leave it. The callers of other failure
        domains share the primary that ranks first. Primaries of other failure domains
        are secondary: they have the key's data cached as well, so a request there
        displaces no other data. Domains near each other have one primary together, and
        the next member in the key's order is secondary.

        Args:
            service: Service of the members.
            members: Members of one region.
            key: Affinity key.
            key_count: Number of keys that are used recently.
            near: Failure domains near this instance's own, with it, or empty.
            spread: :class:`KeySpread` of the key, or None for a single primary.
        """
        ranked = self._ranked(service, members, key)
        group = "+".join(sorted(near))
        groups = {
            m.row.backend_id: group if m.row.domain in near else m.row.domain
            for m in ranked
        }
        counts = collections.Counter(groups.values())
        places = {g: n * CACHED_KEYS / max(1, key_count) for g, n in counts.items()}
        caching = {
            name
            for name, share in places.items()
            if share >= 1.0 or _hash_share(key, name) < share
        }
        primaries = {}
        for backend_id, name in groups.items():
            if name in caching:
                primaries.setdefault(name, backend_id)
        shared = next(iter(primaries.values()), next(iter(groups), None))
        primary = primaries.get(group or self.domain) or shared
        secondaries = [i for i in primaries.values() if i != primary]
        secondaries = secondaries or [i for i in groups if i != primary][:1]
        tiers = {**dict.fromkeys(secondaries, SECONDARY), primary: PRIMARY}
        if spread is None or primary is None:
            return tiers
        peers = [i for i, name in groups.items() if name == groups[primary]]
        return tiers | spread.tiers(peers)

    def _ranked(self, service, members, key):
        """Return members by rendezvous hash of a key, in the same order everywhere."""
        if len(self._ranks) > MAX_RANKED_KEYS:
            self._ranks.clear()
        ranks = self._ranks.setdefault((service, key), {})
        for member in members:
            name = member.row.backend_id
            if name not in ranks:
                ranks[name] = rendezvous_rank(key, name)
        return sorted(members, key=lambda m: ranks[m.row.backend_id])


def _hash_share(key, domain):
    """Return a number from 0 to 1 that decides whether a domain caches a key."""
    digest = rendezvous_rank(key, domain)
    return int.from_bytes(digest) / (1 << (8 * len(digest)))
