"""A small HTTP/1.1 server and client on asyncio, for the stand-ins of the review's cases."""
import asyncio
import json
from urllib.parse import parse_qs, unquote, urlsplit

REASONS = {200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           421: "Misdirected Request", 429: "Too Many Requests", 503: "Service Unavailable"}


async def _read_message(reader):
    """Returns (first line, headers, body), or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


def parse_json(body):
    try:
        return json.loads(body) if body else None
    except ValueError:
        return None


class Server:
    """Calls `handler(method, path, query, body)`, a coroutine that returns (status, json or None),
    or None to close the connection without an answer."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.port = 0
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def close(self):
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.close()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await _read_message(reader)
                if message is None:
                    break
                method, target, _ = message[0].split(" ", 2)
                parts = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(parts.query, keep_blank_values=True).items()}
                answer = await self.handler(method, unquote(parts.path), query, parse_json(message[2]))
                if answer is None:
                    break
                status, body = answer
                text = json.dumps(body, separators=(",", ":")).encode() if body is not None else b""
                writer.write(b"HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % (status, REASONS.get(status, "X").encode(), len(text)) + text)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Client:
    """Sends one request after the other to an address, on a connection that stays open."""

    def __init__(self, port):
        self.port = port
        self.reader = self.writer = None

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def _exchange(self, data):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.writer.write(data)
        await self.writer.drain()
        message = await _read_message(self.reader)
        if message is None:
            raise ConnectionError("closed")
        if message[1].get("connection", "").lower() == "close":
            self.close()
        return int(message[0].split(" ")[1]), message[1], parse_json(message[2])

    async def request(self, method, path, body=None, timeout=5.0):
        """Returns (status, json, headers); the status is 0 without an answer in time."""
        text = json.dumps(body, separators=(",", ":")).encode() if body is not None else b""
        data = (f"{method} {path} HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(text)}\r\n\r\n").encode() + text
        try:
            status, headers, answer = await asyncio.wait_for(self._exchange(data), timeout)
            return status, answer, headers
        except (OSError, ConnectionError, asyncio.TimeoutError, ValueError, IndexError):
            self.close()
            return 0, None, {}
