"""Answers which entry instances a caller should use."""

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

ANSWER_ENTRIES = 3
NO_DOMAIN = 0xFFFF


class BlockTable:
    """Longest-prefix match from client address to failure domain.

    Blocks are flattened into disjoint ranges, so that one binary search
    answers. IPv6 is matched by the upper 64 bits.

    Args:
        blocks: Pairs of network in CIDR form and failure domain.
    """

    def __init__(self, blocks):
        self.domains = sorted({domain for _, domain in blocks})
        number = {domain: i for i, domain in enumerate(self.domains)}
        parsed = [(ipaddress.ip_network(net), number[domain]) for net, domain in blocks]
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
    def from_arrays(cls, starts, numbers, domains):
        """Return a table over sorted IPv4 range starts and domain numbers."""
        table = cls([])
        table.domains = list(domains)
        table._v4 = (starts, numbers)
        return table

    @property
    def nbytes(self):
        """Bytes of all arrays."""
        return sum(array.nbytes for array in (*self._v4, *self._v6))

    def domain(self, address):
        """Return the failure domain nearest to a client, or None.

        Raises:
            ValueError: If the address is not an IP number.
        """
        ip = ipaddress.ip_address(address)
        if ip.version == 6 and ip.ipv4_mapped:
            ip = ip.ipv4_mapped
        starts, numbers = self._v4 if ip.version == 4 else self._v6
        key = int(ip) if ip.version == 4 else int(ip) >> 64
        # A plain int would make numpy convert the whole array.
        index = int(np.searchsorted(starts, starts.dtype.type(key), side="right")) - 1
        if index < 0 or numbers[index] == NO_DOMAIN:
            return None
        return self.domains[numbers[index]]


def _flatten(ranges, dtype):
    """Return starts and domain numbers of disjoint ranges, the inner ones winning."""
    # An outer block comes before the ones inside it.
    ranges = sorted(ranges, key=lambda row: (row[0], -row[1]))
    starts, numbers, open_ranges = [], [], []

    def put(start, number):
        if starts and starts[-1] == start:
            numbers[-1] = number
        else:
            starts.append(start)
            numbers.append(number)

    def close_before(limit):
        while open_ranges and (limit is None or open_ranges[-1][0] < limit):
            end, _ = open_ranges.pop()
            put(end + 1, open_ranges[-1][1] if open_ranges else NO_DOMAIN)

    for start, end, number in ranges:
        close_before(start)
        put(start, number)
        open_ranges.append((end, number))
    close_before(None)
    # The end of the address space needs no range after it.
    top = np.iinfo(dtype).max
    kept = [
        (start, number)
        for start, number in zip(starts, numbers, strict=True)
        if start <= top
    ]
    return (
        np.array([start for start, _ in kept], dtype),
        np.array([number for _, number in kept], np.uint16),
    )


@attrs.frozen
class Candidate:
    """An entry instance to use, with its share of the caller's requests."""

    instance: str
    address: str
    region: str
    domain: str
    weight: int


@attrs.frozen
class LookupAnswer:
    """Answer to a look-up.

    Attributes:
        service: Service asked for.
        client: Client address asked for.
        revision: View revision that it was made by.
        ttl_s: Time for which it may be kept.
        instances: Best first; use the next when one does not answer.
    """

    service: str
    client: str
    revision: int
    ttl_s: int
    instances: tuple[Candidate, ...]


class EntryRanking:
    """Entry instances by distance from each failure domain, at one view.

    Distances change only with the view, so they are sorted once for each
    failure domain, and a look-up takes the first few.

    Args:
        view: View in force.
        settings: Its settings tree.
    """

    def __init__(self, view, settings):
        self._rows = [row for row in view.entries if not row.leaving]
        self._settings = settings
        self._groups = {}

    def best(self, domain, client, suspected=()):
        """Return the instances that a client should use, best first.

        Among equally near ones each client starts at a place of its own, so
        that clients spread over them and none is stampeded.

        Args:
            domain: Failure domain nearest to the client, or None.
            client: Client address.
            suspected: Ids of instances that have fallen silent, taken last.
        """
        if domain not in self._groups:
            self._groups[domain] = self._group(domain)
        start = int.from_bytes(hashlib.blake2b(client.encode(), digest_size=4).digest())
        # Silent instances may stand in front, so as many more are looked at.
        wanted = ANSWER_ENTRIES + len(suspected)
        rows = list(itertools.islice(self._from(domain, start), wanted))
        if suspected:
            rows.sort(key=lambda row: row.entry_id in suspected)
        return tuple(
            Candidate(row.entry_id, row.address, row.region, row.domain, 1 << (2 - i))
            for i, row in enumerate(rows[:ANSWER_ENTRIES])
        )

    def _from(self, domain, start):
        """Yield instances by distance, each group from a place on."""
        for group in self._groups[domain]:
            for i in range(len(group)):
                yield group[(start + i) % len(group)]

    def _group(self, domain):
        """Return lists of instances that are equally far, nearest first."""
        region = self._settings.domains.get(domain)

        def distance_ms(row):
            if row.domain == domain:
                return 0.0
            if row.region == region or region is None:
                return 1.0
            return self._settings.link(region, row.region).delay_ms

        ranked = sorted(self._rows, key=lambda row: (distance_ms(row), row.entry_id))
        return [list(group) for _, group in itertools.groupby(ranked, distance_ms)]
