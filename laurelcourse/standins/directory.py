"""Stands for the directory of units: answers long polls for the list."""

import json
import socket
import time

from laurelcourse.standins.base import POLL_INTERVAL
from laurelcourse.standins.http import HttpStandIn


class DirectoryStandIn(HttpStandIn):
    """The directory. `mode`: ok, silent, half (of a response), status, json, fields (malformed ones)."""

    def __init__(self, port: int = 0) -> None:
        self.revision = 1
        self.entries: dict[str, dict] = {}  # by unit
        self.calls = 0
        super().__init__(port)

    def put(self, name: str, address: str, phase: str = "active", build: int = 1) -> None:
        """Adds or changes an entry."""
        self.entries[name] = {
            "id": name,
            "host_port": address,
            "locality": "a",
            "cell": 0,
            "phase": phase,
            "size": 1.0,
            "up_since_ms": 0,
            "revision_no": build,
        }
        self.revision += 1

    def full_list(self) -> dict:
        """Returns the complete list."""
        return {"revision": self.revision, "complete": True, "members": list(self.entries.values())}

    def answer(self, conn: socket.socket, method: str, target: str, query: dict) -> None:
        """Answers a poll once the list is newer than `from`, or after `hold_ms`."""
        self.calls += 1
        deadline = time.monotonic() + float(query.get("hold_ms", 0)) / 1000
        while self.mode == "ok" and time.monotonic() < deadline and self.revision <= int(query["from"]):
            time.sleep(POLL_INTERVAL)
        if self.mode == "silent":
            raise EOFError
        if self.mode == "half":
            conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{")
            return
        malformed = {"status": (500, "{}"), "json": (200, '{"revision":'), "fields": (200, '{"revision": 3}')}
        self.reply(conn, *malformed.get(self.mode, (200, json.dumps(self.full_list()))))
