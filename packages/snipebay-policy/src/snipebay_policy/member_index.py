"""Index of the backend servers that may get requests, by service and region."""

import attrs

__all__ = ["MemberIndex"]


@attrs.define
class MemberIndex:
    """Open members by service and region.

    It changes with the view only, so that a request costs no walk over the backend
    servers of all regions. Callers must not change the lists that it returns.
    """

    _by_service: dict = attrs.Factory(dict)
    _by_region: dict = attrs.Factory(dict)
    _slots: dict = attrs.Factory(dict)

    @classmethod
    def from_members(cls, members):
        """Return the index of open members."""
        index = cls()
        for member in members:
            service, region = member.row.service, member.row.region
            index._by_service.setdefault(service, []).append(member)
            index._by_region.setdefault((service, region), []).append(member)
            slots = index._slots.setdefault(service, {})
            slots[region] = slots.get(region, 0) + member.row.slots
        return index

    def of_service(self, service):
        """Return the members of a service."""
        return self._by_service.get(service, [])

    def of_region(self, service, region):
        """Return the members of a service in a region."""
        return self._by_region.get((service, region), [])

    def slots(self, service):
        """Return a new table of the slots of a service by region."""
        return dict(self._slots.get(service, {}))
