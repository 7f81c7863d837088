"""HTTP/1.1 messages on asyncio streams, and single calls with a time limit."""

import asyncio
import json

__all__ = ["Answer", "call", "read_head", "read_response"]


class Answer:
    """A complete response.

    Attributes:
        status: Status code.
        headers: Values by lower-case name.
        body: The whole body.
    """

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


async def read_head(reader):
    """Return the start line and the headers of a message, None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as exc:
        if exc.partial:
            raise ConnectionError("the head is incomplete") from exc
        return None
    first, *lines = raw.decode("latin-1").split("\r\n")[:-2]
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_response(reader):
    """Return the next :class:`Answer`, None at the end of the connection.

    Raises:
        ConnectionError: If the connection ends within a response.
    """
    head = await read_head(reader)
    if head is None:
        return None
    first, headers = head
    try:
        body = await _read_body(reader, headers)
    except asyncio.IncompleteReadError as exc:
        raise ConnectionError("the body is incomplete") from exc
    return Answer(int(first.split()[1]), headers, body)


async def _read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        return body
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read()


async def call(address, method, path, document=None, timeout_s=1.0):
    """Return the :class:`Answer` to one call on a new connection, None without one."""
    body = b"" if document is None else json.dumps(document).encode()
    head = f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n"
    if body:
        head += "Content-Type: application/json\r\n"
    head += f"Content-Length: {len(body)}\r\n\r\n"
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head.encode() + body)
            return await read_response(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()
