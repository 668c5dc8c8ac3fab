"""A TCP proxy that can cut a connection between two hosts."""

import asyncio
import contextlib


class Link:
    """Forwards connections from one address to another while it is not cut.

    A cut resets the open connections; later ones are accepted and stay silent.
    """

    def __init__(self, target: tuple[str, int], source_host: str = "") -> None:
        self.target, self.source_host = target, source_host
        self.is_cut = False
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self, host: str, port: int) -> None:
        """Listen at the address."""
        self.server = await asyncio.start_server(self._serve, host, port)

    def cut(self) -> None:
        """Cut the link."""
        self.is_cut = True
        for writer in self.writers:
            writer.transport.abort()

    def restore(self) -> None:
        """End the cut; connections that were opened during it are reset."""
        self.is_cut = False
        for writer in self.writers:
            writer.transport.abort()

    def stop(self) -> None:
        """Close the listener and all connections."""
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            writer.transport.abort()
        for task in self.tasks:
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        if self.is_cut:
            return
        local = (self.source_host, 0) if self.source_host else None
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target, local_addr=local)
        except OSError:
            writer.close()
            return
        self.writers.add(far_writer)
        for pair in ((reader, far_writer), (far_reader, writer)):
            task = asyncio.ensure_future(self._copy(*pair))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        writer.close()
        self.writers.discard(writer)
