"""A link that can be cut: it holds up what passes through it, and delivers it later."""

import asyncio

__all__ = ["Link"]

CHUNK_BYTES = 1 << 16


class Link:
    """TCP proxy in front of one address.

    While it is cut it forwards nothing, in neither direction. What was sent meanwhile
    is delivered when it heals, as by TCP, even if its sender has closed by then.

    Args:
        host: Address to listen on.
        target: ``host:port`` that it leads to.

    Attributes:
        address: ``host:port`` that it listens on.
    """

    def __init__(self, host, target):
        self.address = ""
        self._host = host
        self._target = target
        self._is_whole = asyncio.Event()
        self._is_whole.set()
        self._server = None
        self._tasks = set()

    async def start(self):
        """Listen."""
        self._server = await asyncio.start_server(self._accept, self._host, 0)
        self.address = f"{self._host}:{self._server.sockets[0].getsockname()[1]}"

    def cut(self):
        """Hold up everything from now on."""
        self._is_whole.clear()

    def heal(self):
        """Deliver what was held up, and all that follows."""
        self._is_whole.set()

    def close(self):
        """Stop listening and close all connections."""
        self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _accept(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        writers = [writer]
        try:
            host, _, port = self._target.rpartition(":")
            await self._is_whole.wait()
            inner_reader, inner_writer = await asyncio.open_connection(host, int(port))
            writers.append(inner_writer)
            await asyncio.gather(
                self._pump(reader, inner_writer), self._pump(inner_reader, writer)
            )
        except OSError:
            pass
        finally:
            for end in writers:
                end.close()

    async def _pump(self, reader, writer):
        """Forward in one direction; the end of the input ends both."""
        while True:
            data = await reader.read(CHUNK_BYTES)
            await self._is_whole.wait()
            if not data:
                raise ConnectionError
            writer.write(data)
            await writer.drain()
