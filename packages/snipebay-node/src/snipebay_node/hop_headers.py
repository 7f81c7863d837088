"""Headers that concern one connection only, and those that a proxy passes on."""

__all__ = ["next_hop_headers", "strip_hop_headers"]

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
