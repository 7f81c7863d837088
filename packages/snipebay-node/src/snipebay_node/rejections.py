"""Requests that are rejected before they reach an application."""

import re

import h11

from snipebay_node.exchange import PROBLEM_TYPE, problem_body

__all__ = [
    "body_length",
    "encode_rejection",
    "framing_error",
    "parse_error_detail",
]


def encode_rejection(parser, status, detail, reason="", retry_after_s=1):
    """Return the bytes of a last response that says why a request is not handled.

    Args:
        parser: The h11 parser of the request.
        status: HTTP status.
        detail: Text for the caller.
        reason: Reason from a fixed set, or empty.
        retry_after_s: When to try again, said with status 503.
    """
    body = problem_body(
        status, "not-run", detail, **({"reason": reason} if reason else {})
    )
    headers = [
        ("Content-Type", PROBLEM_TYPE),
        ("Content-Length", str(len(body))),
        ("Snipebay-Outcome", "not-run"),
        ("Connection", "close"),
    ]
    if status == 503:
        headers.append(("Retry-After", str(retry_after_s)))
    response = h11.Response(status_code=status, headers=headers, reason=b"")
    events = (response, h11.Data(data=body), h11.EndOfMessage())
    return b"".join(parser.send(event) for event in events)


def parse_error_detail(exc):
    """Return what an error of the parser says, without the bytes that it quotes.

    The line that it can't read may hold a key.
    """
    return re.split(r"[ :(]*(?:bytearray\(|b['\"])", str(exc))[0]


def framing_error(exchange):
    """Return why a request's framing is rejected, or an empty string."""
    lengths = [v for name, v in exchange.headers if name == b"content-length"]
    codings = [v for name, v in exchange.headers if name == b"transfer-encoding"]
    hosts = [v for name, v in exchange.headers if name == b"host"]
    if lengths and codings:
        return "both Content-Length and Transfer-Encoding"
    if len(lengths) > 1 or len(codings) > 1 or len(hosts) > 1:
        return "a framing header stands twice"
    if exchange.method == "CONNECT":
        return "CONNECT is not served"
    return ""


def body_length(exchange):
    """Return the length of a request's body, or None if it is not announced."""
    for name, value in exchange.headers:
        if name == b"content-length":
            return int(value)
        if name == b"transfer-encoding":
            return None
    return 0
