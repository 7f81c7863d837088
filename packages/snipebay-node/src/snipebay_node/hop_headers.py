"""Headers that concern one connection only, and those that a proxy passes on."""

from snipebay_node.response_headers import format_backend

__all__ = [
    "next_hop_headers",
    "relayed_headers",
    "request_headers",
    "strip_hop_headers",
]

HOP_BY_HOP_HEADERS = frozenset(
    b"connection keep-alive proxy-authenticate proxy-authorization proxy-connection "
    b"te trailer transfer-encoding upgrade".split()
)


def strip_hop_headers(headers):
    """Return headers without the hop-by-hop ones of RFC 9110, section 7.6.1."""
    connection_options = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    excluded = HOP_BY_HOP_HEADERS | connection_options
    return [(name, value) for name, value in headers if name.lower() not in excluded]


def request_headers(exchange, action, remaining_ms, names, *, hides_credential):
    """Return the headers that go to a backend server or entry instance.

    Args:
        exchange: The request as received.
        action: :class:`Dispatch` of the attempt.
        remaining_ms: Milliseconds until the deadline.
        names: :class:`HeaderNames` of callers and backend servers.
        hides_credential: True while requests have the key of a workspace.
    """
    is_hop = action.attempts_before_hop is not None
    replaced = [names.deadline_ms, names.target, names.hop]
    if hides_credential:
        # Another instance checks the key itself; a backend server never gets it.
        replaced += [names.workspace] if is_hop else [names.workspace, names.credential]
    headers = next_hop_headers(exchange, replaced)
    headers.append((names.deadline_ms, str(remaining_ms).encode()))
    if is_hop:
        headers.append((names.hop, str(action.attempts_before_hop).encode()))
        return headers
    if names.target:
        headers.append((names.target, action.backend.backend_id.encode()))
    if action.workspace:
        headers.append((names.workspace, action.workspace.encode()))
    return headers


def relayed_headers(response, names, *, from_instance, to_instance):
    """Return the headers of a response that go to the caller or entry instance.

    Instances trust some headers of each other, so only they may set these.

    Args:
        response: The :class:`Response`.
        names: :class:`HeaderNames` of callers and backend servers.
        from_instance: True if it came through another entry instance.
        to_instance: True if it goes to one.
    """
    excluded = [names.leaving_backend]
    excluded += [] if from_instance else [names.outcome]
    headers = [h for h in strip_hop_headers(response.headers) if h[0] not in excluded]
    if response.leaving_backend and to_instance:
        value = format_backend(response.leaving_backend)
        headers.append((names.leaving_backend, value))
    return headers


def next_hop_headers(exchange, replaced):
    """Return the headers to forward with a request, including its body length.

    Args:
        exchange: The request as received.
        replaced: Names of headers to omit because the proxy sets its own.
    """
    excluded = (*replaced, b"content-length", b"expect")
    headers = [
        (n, v) for n, v in strip_hop_headers(exchange.headers) if n not in excluded
    ]
    if exchange.body or exchange.method in ("POST", "PUT", "PATCH"):
        headers.append((b"content-length", str(len(exchange.body)).encode()))
    return headers
