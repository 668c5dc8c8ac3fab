"""Frames between controllers: four bytes of length, then protobuf."""

import asyncio
import logging
import random
import struct
import time
from collections.abc import Callable

from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient
from tornado.tcpserver import TCPServer

from coursefold.settings import split_address

log = logging.getLogger(__name__)

MAX_FRAME_BYTES = 1024 * 1024
IDLE_S = 30.0
STUCK_S = 2.0
STEADY_S = 5.0
GATHER_S = 0.05  # what comes within it goes into one frame

# Takes a frame and the address that it comes from; False if the connection should end.
FrameHandler = Callable[[bytes, str], bool]


def _anybody(address: str) -> bool:
    return True


class PeerServer(TCPServer):
    """Takes frames; a length out of bounds ends the connection."""

    def __init__(
        self, listen: str, take: FrameHandler, allows: Callable[[str], bool] = _anybody
    ) -> None:
        super().__init__(max_buffer_size=2 * MAX_FRAME_BYTES)
        self.take, self.allows = take, allows
        host, port = split_address(listen)
        self.listen(port, host)

    async def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        """One connection, until it ends."""
        if not self.allows(address[0]):
            log.error("connection from %s refused: in no allowed network", address[0])
            stream.close()
            return
        try:
            while True:
                async with asyncio.timeout(IDLE_S):
                    head = await stream.read_bytes(4)
                    (length,) = struct.unpack(">I", head)
                    if not 0 < length <= MAX_FRAME_BYTES:
                        log.error("peer frame of %d bytes from %s dropped", length, address[0])
                        break
                    frame = await stream.read_bytes(length)
                if not self.take(frame, address[0]):
                    break  # the sibling connects again, and says everything anew
        except (StreamClosedError, TimeoutError, OSError):
            pass
        finally:
            stream.close()


class PeerLink:
    """Our connection to one other controller."""

    def __init__(
        self,
        member: str,
        address: str,
        begin: Callable[[str], None],
        frame: Callable[[str], bytes],
        period: float,
        source: str | None = None,
    ) -> None:
        self.member, self.begin, self.frame, self.period = member, begin, frame, period
        self.host, self.port = split_address(address)
        self.source = source  # our own address, where the other side goes by it
        self.wake = asyncio.Event()

    async def run(self) -> None:
        """Connect, send, and connect again with a growing, jittered pause."""
        pause = 0.2
        while True:
            began = time.monotonic()
            try:
                async with asyncio.timeout(STUCK_S):
                    stream = await TCPClient().connect(self.host, self.port, source_ip=self.source)
                stream.set_nodelay(True)
                stream.set_close_callback(self.wake.set)
                try:
                    await self._send(stream)
                finally:
                    stream.close()
            except (StreamClosedError, TimeoutError, OSError) as wrong:
                log.debug("peer link to %s: %s", self.member, wrong or type(wrong).__name__)
            if time.monotonic() - began > STEADY_S:
                pause = 0.2
            await asyncio.sleep(pause * random.uniform(0.5, 1.5))
            pause = min(2.0, pause * 2)

    async def _send(self, stream: IOStream) -> None:
        self.begin(self.member)
        while True:
            self.wake.clear()
            frame = self.frame(self.member)
            if frame:
                async with asyncio.timeout(STUCK_S):
                    await stream.write(struct.pack(">I", len(frame)) + frame)
            try:
                async with asyncio.timeout(self.period):
                    await self.wake.wait()
                if stream.closed():
                    raise StreamClosedError()
                await asyncio.sleep(GATHER_S)
            except TimeoutError:
                pass
