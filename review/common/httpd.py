"""A small HTTP/1.1 server on asyncio, for the stand-ins of the review."""

import asyncio
import socket
import struct

REASONS = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found",
           409: "Conflict", 410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 429: "Too Many Requests",
           503: "Service Unavailable"}


class Request:
    def __init__(self, method, path, query, headers, body):
        self.method = method
        self.path = path
        self.query = query
        self.headers = headers
        self.body = body


def parse_query(text):
    query = {}
    for part in text.split("&"):
        name, _, value = part.partition("=")
        if name:
            query[name] = unquote(value)
    return query


def unquote(text):
    out = bytearray()
    data = text.encode()
    i = 0
    while i < len(data):
        if data[i] == 0x25 and i + 2 < len(data):
            out.append(int(data[i + 1:i + 3], 16))
            i += 3
        else:
            out.append(data[i])
            i += 1
    return out.decode(errors="replace")


async def read_request(reader):
    """Reads one request; returns None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    path, _, query = target.partition("?")
    return Request(method, path, parse_query(query), headers, body)


def encode_response(status, body, content_type="application/json"):
    head = "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n" % (
        status, REASONS.get(status, "Status"), content_type, len(body))
    return head.encode() + body


def reset(writer):
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                        struct.pack("ii", 1, 0))
    writer.transport.abort()


class Server:
    """Calls handler(request) for each request; it returns (status, body)."""

    def __init__(self, handler):
        self.handler = handler

    async def start(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port,
                                                 limit=4 * 1024 * 1024)
        return self

    async def serve(self, reader, writer):
        writer.get_extra_info("socket").setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                answer = await self.handler(request)
                writer.write(encode_response(*answer))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()


async def call(ip, port, method, target, host, body=b"", deadline_ms=3000):
    """One request on a new connection: (status, body), or (None, reason)."""
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(ip, port), deadline_ms / 1000)
        head = ("%s %s HTTP/1.1\r\nHost: %s\r\nX-Deadline-Ms: %d\r\n"
                "Content-Type: application/json\r\nContent-Length: %d\r\n"
                "Connection: close\r\n\r\n"
                % (method, target, host, deadline_ms, len(body)))
        writer.write(head.encode() + body)
        data = await asyncio.wait_for(reader.read(), deadline_ms / 1000)
        status = int(data.split(b" ", 2)[1])
        return status, data.partition(b"\r\n\r\n")[2]
    except (OSError, asyncio.TimeoutError, IndexError, ValueError) as error:
        return None, type(error).__name__.encode()
    finally:
        if writer is not None:
            writer.close()
