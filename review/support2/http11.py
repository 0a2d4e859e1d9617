"""A small HTTP/1.1 server and client on asyncio streams."""

from __future__ import annotations

import asyncio
import dataclasses
import urllib.parse

MAX_HEAD_BYTES = 256 * 1024


@dataclasses.dataclass
class Request:
    """A request as a server has read it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter

    @property
    def path(self):
        return urllib.parse.urlsplit(self.target).path

    @property
    def query(self):
        query = urllib.parse.urlsplit(self.target).query
        return dict(urllib.parse.parse_qsl(query, keep_blank_values=True))


@dataclasses.dataclass
class Response:
    """A response that a server sends, or that a client has read.

    ``ended`` tells a client whether the response was whole.
    """

    status: int
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    ended: bool = True


class BrokenError(Exception):
    """The connection ended within a message."""


async def read_head(reader):
    """Returns the start line and the headers; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise BrokenError from error
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    """Yields the chunks of a body."""
    while True:
        line = await reader.readline()
        if not line.endswith(b"\n"):
            raise BrokenError
        size = int(line.split(b";")[0], 16)
        try:
            data = await reader.readexactly(size + 2)
        except asyncio.IncompleteReadError as error:
            raise BrokenError from error
        if size == 0:
            return
        yield data[:-2]


async def read_body(reader, headers, until_close=False):
    if "chunked" in headers.get("transfer-encoding", ""):
        return b"".join([c async for c in read_chunks(reader)])
    if "content-length" in headers:
        try:
            return await reader.readexactly(int(headers["content-length"]))
        except asyncio.IncompleteReadError as error:
            raise BrokenError from error
    return await reader.read() if until_close else b""


class Server:
    """Listens on a loopback address; ``handler`` answers each request.

    The handler returns a ``Response``, or None if it has written the answer
    itself. ``abort`` ends all connections as the end of a process does.
    """

    def __init__(self, handler):
        self.handler = handler
        self.writers = set()
        self.tasks = set()
        self.server = None
        self.port = 0

    async def start(self, port=0):
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", port, limit=MAX_HEAD_BYTES, backlog=1024
        )
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def abort(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, headers = head
                method, target, _ = line.split(" ", 2)
                body = await read_body(reader, headers)
                request = Request(method, target, headers, body, writer)
                response = await self._handle(reader, request)
                if response is not None:
                    writer.write(encode_response(response))
                    await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except (BrokenError, ConnectionError, ValueError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.close()

    async def _handle(self, reader, request):
        """Runs the handler; a close of the connection ends it."""
        work = asyncio.ensure_future(self.handler(request))
        try:
            while not work.done():
                await asyncio.wait((work,), timeout=0.05)
                if not work.done() and (
                    reader.at_eof() or request.writer.transport.is_closing()
                ):
                    raise BrokenError
            return work.result()
        finally:
            work.cancel()


def encode_response(response):
    headers = {"Content-Length": str(len(response.body)), **response.headers}
    lines = [f"{n}: {v}" for n, v in headers.items()]
    head = "\r\n".join([f"HTTP/1.1 {response.status} S", *lines, "", ""])
    return head.encode("latin-1") + response.body


def encode_request(method, target, headers, body=b""):
    lines = [f"{n}: {v}" for n, v in headers]
    head = "\r\n".join([f"{method} {target} HTTP/1.1", *lines, "", ""])
    return head.encode("latin-1") + body


async def exchange(address, data, timeout_s=10.0, linger_s=0.0):
    """Sends bytes on a new connection and reads one response.

    The connection is closed ``linger_s`` after that.
    """
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(
            host, int(port), limit=MAX_HEAD_BYTES
        )
        try:
            writer.write(data)
            await writer.drain()
            response = await read_response(reader)
            await asyncio.sleep(linger_s)
            return response
        finally:
            writer.close()


async def read_response(reader):
    head = await read_head(reader)
    if head is None:
        raise BrokenError
    line, headers = head
    response = Response(int(line.split(" ")[1]), headers)
    parts = []
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            async for chunk in read_chunks(reader):
                parts.append(chunk)
        else:
            parts.append(await read_body(reader, headers, until_close=True))
    except (BrokenError, ConnectionError):
        response.ended = False
    response.body = b"".join(parts)
    return response
