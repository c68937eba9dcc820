"""A scripted HTTP/1.1 server, by RFC 9112 as far as its clients need it."""

import socket
from typing import BinaryIO
from urllib.parse import parse_qsl

from laurelcourse.standins.base import StandIn, read_exactly


class HttpStandIn(StandIn):
    """Parses requests, and has `answer` send the responses."""

    def serve(self, conn: socket.socket, stream: BinaryIO) -> None:
        """Serves the requests of one connection."""
        while first := stream.readline():
            method, target, _ = first.decode().split(" ")
            fields = {}
            while line := stream.readline().strip():
                name, _, value = line.decode().partition(":")
                fields[name.lower()] = value.strip()
            body = read_exactly(stream, int(fields.get("content-length", 0))).decode()
            self.answer(conn, method, target, dict(parse_qsl(body or target.partition("?")[2])))

    def answer(self, conn: socket.socket, method: str, target: str, query: dict) -> None:
        """Sends the response to a request; `query` is that of its body or, without one, of its target."""
        raise NotImplementedError

    def reply(self, conn: socket.socket, status: int, body: str) -> None:
        """Sends a response."""
        head = f"HTTP/1.1 {status} Said\r\nContent-Length: {len(body)}\r\n\r\n"
        conn.sendall((head + body).encode())
