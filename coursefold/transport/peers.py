"""Connections between controllers: frames of a four-byte length followed by protobuf."""

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
READ_TIMEOUT_S = 30.0
WRITE_TIMEOUT_S = 2.0  # for connecting, and for writing one frame
STABLE_CONNECTION_S = 5.0  # a connection that lasted longer resets the reconnect delay
BATCH_DELAY_S = 0.05  # changes within this time share a frame

# Handles a frame from an IP address; returns False if the connection is to be closed.
FrameHandler = Callable[[bytes, str], bool]


def _allow_any(address: str) -> bool:
    return True


class PeerServer(TCPServer):
    """Accepts connections from other controllers and receives their frames.

    A frame length out of bounds closes the connection.

    Attributes:
        handle_frame: Called with each frame and the sender's IP address.
        is_allowed: Returns whether an IP address may connect.
    """

    def __init__(
        self,
        listen: str,
        handle_frame: FrameHandler,
        is_allowed: Callable[[str], bool] = _allow_any,
    ) -> None:
        super().__init__(max_buffer_size=2 * MAX_FRAME_BYTES)
        self.handle_frame, self.is_allowed = handle_frame, is_allowed
        host, port = split_address(listen)
        self.listen(port, host)

    async def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        """Receive frames from one connection until it ends."""
        if not self.is_allowed(address[0]):
            log.error("connection from %s refused: address is in no allowed network", address[0])
            stream.close()
            return
        try:
            while True:
                async with asyncio.timeout(READ_TIMEOUT_S):
                    head = await stream.read_bytes(4)
                    (length,) = struct.unpack(">I", head)
                    if not 0 < length <= MAX_FRAME_BYTES:
                        log.error(
                            "closing a peer connection: frame length of %d bytes from %s is "
                            "out of bounds",
                            length,
                            address[0],
                        )
                        break
                    frame = await stream.read_bytes(length)
                if not self.handle_frame(frame, address[0]):
                    break  # the sibling reconnects, and sends its complete state again
        except (StreamClosedError, TimeoutError, OSError):
            pass
        finally:
            stream.close()


class PeerSender:
    """Sends frames to one other controller, and reconnects whenever the connection fails.

    Attributes:
        member: The other controller's name.
        on_connected: Called with `member` when a connection is open, before its first frame.
        build_frame: Returns the next frame for `member`; empty if there is nothing to send.
        interval_s: The longest time between two calls of `build_frame`.
        source: The local IP address to connect from, for listeners that identify senders by
            their address; None for any.
        wake_event: Set to send a frame before the interval is over.
    """

    def __init__(
        self,
        member: str,
        address: str,
        on_connected: Callable[[str], None],
        build_frame: Callable[[str], bytes],
        interval_s: float,
        source: str | None = None,
    ) -> None:
        self.member, self.on_connected, self.build_frame, self.interval_s = (
            member,
            on_connected,
            build_frame,
            interval_s,
        )
        self.host, self.port = split_address(address)
        self.source = source
        self.wake_event = asyncio.Event()

    async def run(self) -> None:
        """Connect and send for ever; reconnect after an exponential, jittered delay."""
        delay_s = 0.2
        while True:
            started_at = time.monotonic()
            try:
                async with asyncio.timeout(WRITE_TIMEOUT_S):
                    stream = await TCPClient().connect(self.host, self.port, source_ip=self.source)
                stream.set_nodelay(True)
                stream.set_close_callback(self.wake_event.set)
                try:
                    await self._send_frames(stream)
                finally:
                    stream.close()
            except (StreamClosedError, TimeoutError, OSError) as error:
                log.debug("connection to peer %s: %s", self.member, error or type(error).__name__)
            if time.monotonic() - started_at > STABLE_CONNECTION_S:
                delay_s = 0.2
            await asyncio.sleep(delay_s * random.uniform(0.5, 1.5))
            delay_s = min(2.0, delay_s * 2)

    async def _send_frames(self, stream: IOStream) -> None:
        self.on_connected(self.member)
        while True:
            self.wake_event.clear()
            frame = self.build_frame(self.member)
            if frame:
                async with asyncio.timeout(WRITE_TIMEOUT_S):
                    await stream.write(struct.pack(">I", len(frame)) + frame)
            try:
                async with asyncio.timeout(self.interval_s):
                    await self.wake_event.wait()
                if stream.closed():
                    raise StreamClosedError()
                await asyncio.sleep(BATCH_DELAY_S)
            except TimeoutError:
                pass
