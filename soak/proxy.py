"""A loopback proxy that delays, resets or blocks connections."""

import asyncio
import socket
import struct
from typing import Self

_CHUNK_BYTES = 65_536
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Proxy:
    """Forwards connections; an async context manager.

    Blocked data is delivered later, as by TCP over a network that loses packets
    for some time: no byte of a connection is lost.

    Attributes:
        delay_s: Delay of each chunk of data.
    """

    def __init__(self, address: str, target: str):
        self.address = address
        self.target = target
        self.delay_s = 0.0
        self._to_target = asyncio.Event()
        self._to_caller = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        # Those of them that lead to callers.
        self._accepted: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self.heal()

    def heal(self) -> None:
        """Forwards everything without delay."""
        self.delay_s = 0.0
        self._to_target.set()
        self._to_caller.set()

    def cut(self, *, both_ways: bool) -> None:
        """Blocks data from the target, or in both directions."""
        self._to_caller.clear()
        if both_ways:
            self._to_target.clear()

    def reset(self) -> None:
        """Resets all connections."""
        for writer in self._writers:
            if writer.transport.is_closing():
                continue
            raw = writer.get_extra_info("socket")
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
            writer.transport.abort()

    @property
    def is_listening(self) -> bool:
        """Whether connections are accepted."""
        return self._server.is_serving()

    async def listen(self) -> None:
        """Accepts connections."""
        ip, port = self.address.split(":")
        self._server = await asyncio.start_server(self._serve, ip, int(port))

    def refuse(self) -> None:
        """Refuses connections until ``listen`` is called."""
        self._server.close()

    async def __aenter__(self) -> Self:
        await self.listen()
        return self

    async def __aexit__(self, *_error) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        writers = [writer]
        self._writers.add(writer)
        self._accepted.add(writer)
        try:
            ip, port = self.target.split(":")
            target_reader, target_writer = await asyncio.open_connection(
                ip, int(port)
            )
            writers.append(target_writer)
            self._writers.add(target_writer)
            async with asyncio.TaskGroup() as both:
                both.create_task(
                    self._forward(reader, target_writer, self._to_target)
                )
                both.create_task(
                    self._forward(target_reader, writer, self._to_caller)
                )
        except* (OSError, asyncio.CancelledError):
            # The target is down, a connection broke or the run is over.
            for one in writers:
                one.transport.abort()
        finally:
            self._writers.difference_update(writers)
            self._accepted.discard(writer)
            for one in writers:
                one.close()
            self._tasks.discard(task)

    async def _forward(self, reader, writer, is_open: asyncio.Event) -> None:
        while data := await reader.read(_CHUNK_BYTES):
            await is_open.wait()
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            writer.write(data)
            await writer.drain()
        await is_open.wait()
        if writer.can_write_eof():
            writer.write_eof()
