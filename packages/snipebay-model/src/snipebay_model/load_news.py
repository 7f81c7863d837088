"""Messages between entry instances on the load of backend servers."""

import attrs

__all__ = ["LoadNews", "LoadRow"]


@attrs.frozen
class LoadRow:
    """What a response said of the load of a backend server.

    Attributes:
        backend_id: Id of the backend server.
        born_ms: Its incarnation.
        open_count: Requests running or waiting there.
        pace_percent: How long work takes there as a percentage of the usual time, 0 if
            it said nothing of it.
        age_ms: Milliseconds since the response.
    """

    backend_id: str
    born_ms: int
    open_count: int
    pace_percent: int = 0
    age_ms: int = 0


@attrs.frozen
class LoadNews:
    """Newest reports that one entry instance has received, for others of its region.

    Attributes:
        rows: One row for each backend server.
    """

    rows: tuple[LoadRow, ...]
