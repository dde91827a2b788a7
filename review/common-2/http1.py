"""A small HTTP/1.1 server and client on asyncio streams, for the stand-ins."""

import asyncio
import contextlib
import socket
import struct

# Errors of a connection that its peer closed, reset or did not accept.
BROKEN = (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError)


class Call:
    """A request that a server has read, and the connection to answer it on."""

    def __init__(self, method, target, headers, body, reader, writer):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.reader = reader
        self.writer = writer
        self.keeps_connection = True

    def head(self, status, headers):
        """Writes the status line and the headers."""
        lines = [f"HTTP/1.1 {status} X"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        self.writer.write("\r\n".join([*lines, "", ""]).encode("latin-1"))

    async def answer(self, status=200, body=b"", headers=None):
        """Sends a complete response."""
        self.head(status, {"content-length": len(body), **(headers or {})})
        self.writer.write(body)
        await self.writer.drain()

    async def chunk(self, data):
        """Sends a chunk; an empty one ends the response."""
        self.writer.write(b"%x\r\n%s\r\n" % (len(data), data))
        await self.writer.drain()

    def reset(self):
        """Resets the connection."""
        self.keeps_connection = False
        reset(self.writer)


def reset(writer):
    """Closes a connection with a reset."""
    raw = writer.get_extra_info("socket")
    if raw is not None and raw.fileno() >= 0:
        linger = struct.pack("ii", 1, 0)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def read_head(reader):
    """Returns the first line and the headers; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines if line)
    return first, {name.lower(): value.strip() for name, value in pairs}


class Server:
    """Serves calls on one address until it is closed."""

    def __init__(self, address, handle):
        self.address = address
        self._handle = handle
        self._server = None
        self._writers = set()

    async def start(self):
        """Listens."""
        ip, port = self.address.split(":")
        self._server = await asyncio.start_server(self._serve, ip, int(port))
        return self

    def close(self):
        """Refuses connections and resets those that are open."""
        self._server.close()
        for writer in list(self._writers):
            reset(writer)

    def stop_listening(self):
        """Refuses new connections; those that are open stay."""
        self._server.close()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (found := await read_head(reader)) is not None:
                first, headers = found
                method, target, _ = first.split(" ")
                length = int(headers.get("content-length", 0))
                body = await reader.readexactly(length)
                call = Call(method, target, headers, body, reader, writer)
                await self._handle(call)
                if not call.keeps_connection:
                    return
        except (*BROKEN, asyncio.CancelledError):
            # The end of the connection, or of the case.
            pass
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()


class Reply:
    """What a client has received.

    Attributes:
        status: The status; 0 if there was no response.
        complete: Whether the response was received to its end.
    """

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = bytearray()
        self.complete = False


class Channel:
    """A client's connection, for one request after the other."""

    def __init__(self, reader, writer):
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, address, timeout_s=1.0):
        """Connects."""
        ip, port = address.split(":")
        async with asyncio.timeout(timeout_s):
            return cls(*await asyncio.open_connection(ip, int(port)))

    def close(self):
        """Closes the connection."""
        with contextlib.suppress(Exception):
            self._writer.close()

    async def send(self, method, target, headers, body=b""):
        """Sends a whole request."""
        lines = [f"{method} {target} HTTP/1.1"]
        if body or method not in ("GET", "DELETE"):
            headers = {**headers, "Content-Length": len(body)}
        lines += [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join([*lines, "", ""]).encode("latin-1")
        self._writer.write(head + body)
        await self._writer.drain()

    async def receive(self, reply, on_data=None):
        """Reads the response into a reply, as far as it comes."""
        with contextlib.suppress(*BROKEN):
            found = await read_head(self._reader)
            if found is None:
                return reply
            first, reply.headers = found
            reply.status = int(first.split(" ")[1])
            if "content-length" in reply.headers:
                length = int(reply.headers["content-length"])
                reply.body += await self._reader.readexactly(length)
                reply.complete = True
                return reply
            while True:
                line = await self._reader.readuntil(b"\r\n")
                size = int(line, 16)
                data = await self._reader.readexactly(size + 2)
                if not size:
                    reply.complete = True
                    return reply
                reply.body += data[:-2]
                if on_data is not None:
                    on_data()
        return reply


async def request(
    address, method, target, headers, body=b"", on_data=None, timeout_s=30.0
):
    """Sends a request on a new connection; returns its reply."""
    reply, channel = Reply(), None
    with contextlib.suppress(TimeoutError, *BROKEN):
        channel = await Channel.open(address)
        async with asyncio.timeout(timeout_s):
            await channel.send(method, target, headers, body)
            await channel.receive(reply, on_data)
    if channel is not None:
        channel.close()
    return reply
