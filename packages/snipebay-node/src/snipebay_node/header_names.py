"""Names of the headers by which callers and backend servers speak with us."""

import attrs

__all__ = ["HeaderNames"]


@attrs.frozen
class HeaderNames:
    """Header names in lower case; an empty one is not used.

    Attributes:
        request_id: Names a request; answers repeat it.
        deadline_ms: Milliseconds that are left for a request.
        target: Id of the only backend server that may run a request.
        not_run: In an answer, says that the request was not run.
        load: In an answer, requests running, requests waiting, slots.
        affinity: Name of the cookie that names a request's object.
    """

    request_id: bytes = b""
    deadline_ms: bytes = b"snipebay-timeout-ms"
    target: bytes = b""
    not_run: bytes = b"snipebay-shed"
    load: bytes = b""
    affinity: str = ""
