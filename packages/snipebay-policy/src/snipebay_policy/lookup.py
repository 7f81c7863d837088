"""Lookup of the entry instances that a client should use."""

import hashlib
import ipaddress
import itertools

import attrs
import numpy as np

__all__ = [
    "BlockTable",
    "Candidate",
    "EntryRanking",
    "LookupAnswer",
]

MAX_CANDIDATES = 3
NO_DOMAIN = 0xFFFF


class BlockTable:
    """Longest-prefix match from client address to failure domain.

    Blocks are flattened into disjoint ranges, so that a lookup is one binary
    search. IPv6 addresses are matched by their upper 64 bits.

    Args:
        blocks: Pairs of network in CIDR form and failure domain.
    """

    def __init__(self, blocks):
        self.domains = sorted({domain for _, domain in blocks})
        domain_index = {domain: i for i, domain in enumerate(self.domains)}
        parsed = [
            (ipaddress.ip_network(net), domain_index[domain]) for net, domain in blocks
        ]
        self._v4 = _flatten(
            [(int(net[0]), int(net[-1]), i) for net, i in parsed if net.version == 4],
            np.uint32,
        )
        self._v6 = _flatten(
            [
                (int(net[0]) >> 64, int(net[-1]) >> 64, i)
                for net, i in parsed
                if net.version == 6
            ],
            np.uint64,
        )

    @classmethod
    def from_arrays(cls, starts, domain_indexes, domains):
        """Return a table over sorted IPv4 range starts and their domain indexes."""
        table = cls([])
        table.domains = list(domains)
        table._v4 = (starts, domain_indexes)
        return table

    @property
    def nbytes(self):
        """Total size of the arrays in bytes."""
        return sum(array.nbytes for array in (*self._v4, *self._v6))

    def domain(self, address):
        """Return the failure domain nearest to a client, or None.

        Raises:
            ValueError: If the address is not a valid IP address.
        """
        ip = ipaddress.ip_address(address)
        if ip.version == 6 and ip.ipv4_mapped:
            ip = ip.ipv4_mapped
        starts, domain_indexes = self._v4 if ip.version == 4 else self._v6
        key = int(ip) if ip.version == 4 else int(ip) >> 64
        # A plain int would make numpy convert the whole array.
        index = int(np.searchsorted(starts, starts.dtype.type(key), side="right")) - 1
        if index < 0 or domain_indexes[index] == NO_DOMAIN:
            return None
        return self.domains[domain_indexes[index]]


def _flatten(ranges, dtype):
    """Return starts and domain indexes of disjoint ranges; inner blocks win."""
    # Sorts an outer block before the blocks nested in it.
    ranges = sorted(ranges, key=lambda row: (row[0], -row[1]))
    starts, domain_indexes, open_ranges = [], [], []

    def append_range(start, domain_index):
        if starts and starts[-1] == start:
            domain_indexes[-1] = domain_index
        else:
            starts.append(start)
            domain_indexes.append(domain_index)

    def close_before(limit):
        while open_ranges and (limit is None or open_ranges[-1][0] < limit):
            end, _ = open_ranges.pop()
            append_range(end + 1, open_ranges[-1][1] if open_ranges else NO_DOMAIN)

    for start, end, domain_index in ranges:
        close_before(start)
        append_range(start, domain_index)
        open_ranges.append((end, domain_index))
    close_before(None)
    # A range that would start past the end of the address space is dropped.
    top = np.iinfo(dtype).max
    representable = [
        (start, domain_index)
        for start, domain_index in zip(starts, domain_indexes, strict=True)
        if start <= top
    ]
    return (
        np.array([start for start, _ in representable], dtype),
        np.array([domain_index for _, domain_index in representable], np.uint16),
    )


@attrs.frozen
class Candidate:
    """An entry instance, with the weight of its share of the client's requests."""

    instance: str
    address: str
    region: str
    domain: str
    weight: int


@attrs.frozen
class LookupAnswer:
    """Result of a lookup.

    Attributes:
        service: Service looked up.
        client: Client address looked up.
        revision: View revision that it was computed from.
        ttl_s: Time for which it may be cached.
        instances: Entry instances, best first; a client uses the next one when one
            does not respond.
    """

    service: str
    client: str
    revision: int
    ttl_s: int
    instances: tuple[Candidate, ...]


class EntryRanking:
    """Entry instances of one view, ranked by distance from each failure domain.

    Distances change only with the view, so instances are sorted once per failure
    domain, and a lookup takes the first few.

    Args:
        view: View that lists the entry instances.
        settings: Settings tree in force.
    """

    def __init__(self, view, settings):
        self._rows = [row for row in view.entries if not row.leaving]
        self._settings = settings
        self._groups = {}

    def best(self, domain, client, unresponsive=()):
        """Return the instances that a client should use, best first.

        Among equally near instances each client starts at an offset hashed from
        its address, which spreads clients evenly over them.

        Args:
            domain: Failure domain nearest to the client, or None.
            client: Client address.
            unresponsive: Ids of instances to rank last, as they sent no recent
                heartbeat.
        """
        if domain not in self._groups:
            self._groups[domain] = self._group_by_distance(domain)
        start = int.from_bytes(hashlib.blake2b(client.encode(), digest_size=4).digest())
        # All unresponsive instances may rank in front, so as many extra are fetched.
        count = MAX_CANDIDATES + len(unresponsive)
        rows = list(itertools.islice(self._rotated(domain, start), count))
        if unresponsive:
            rows.sort(key=lambda row: row.entry_id in unresponsive)
        return tuple(
            Candidate(row.entry_id, row.address, row.region, row.domain, 1 << (2 - i))
            for i, row in enumerate(rows[:MAX_CANDIDATES])
        )

    def _rotated(self, domain, start):
        """Yield instances by distance, each group rotated by an offset."""
        for group in self._groups[domain]:
            for i in range(len(group)):
                yield group[(start + i) % len(group)]

    def _group_by_distance(self, domain):
        """Return lists of equally distant instances, nearest first."""
        region = self._settings.domains.get(domain)

        def distance_ms(row):
            if row.domain == domain:
                return 0.0
            if row.region == region or region is None:
                return 1.0
            return self._settings.link(region, row.region).delay_ms

        ranked = sorted(self._rows, key=lambda row: (distance_ms(row), row.entry_id))
        return [list(group) for _, group in itertools.groupby(ranked, distance_ms)]
