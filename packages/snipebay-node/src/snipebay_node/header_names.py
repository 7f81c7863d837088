"""Names of the headers exchanged with callers and backend servers."""

import attrs

__all__ = ["HeaderNames"]


@attrs.frozen
class HeaderNames:
    """Header names in lower case; an empty one is not used.

    Attributes:
        request_id: Identifies a request; responses echo it.
        deadline_ms: Milliseconds remaining until the deadline of a request.
        target: Id of the only backend server that may execute a request.
        not_run: Response header: the request was not executed.
        load: Response header: requests running, requests waiting, and slots.
        rate_limit: Response header: requests per second that the backend server takes
            from all instances together.
        leaving: Response header with the value 1: the backend server is leaving.
        hop: Attempts before a hop between entry instances; its presence forbids a
            second hop.
        outcome: Response header of an entry instance's own problems.
        leaving_backend: Response header between entry instances: start time and id of
            the backend server that is leaving.
        credential: Key of the workspace that a request belongs to. While the plan has
            workspaces, it goes to no backend server.
        workspace: Name of the workspace, which backend servers receive in its place.
        affinity: Name of the cookie that holds the affinity key.
    """

    request_id: bytes = b""
    deadline_ms: bytes = b"snipebay-timeout-ms"
    target: bytes = b""
    not_run: bytes = b"snipebay-shed"
    load: bytes = b""
    rate_limit: bytes = b"snipebay-rate-limit"
    leaving: bytes = b"snipebay-leaving"
    hop: bytes = b"snipebay-hop"
    outcome: bytes = b"snipebay-outcome"
    leaving_backend: bytes = b"snipebay-leaving-backend"
    credential: bytes = b"snipebay-key"
    workspace: bytes = b"snipebay-workspace"
    affinity: str = ""
