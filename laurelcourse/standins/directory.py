"""A directory of units: one watch of the list behind another."""

import json
import socket
import time

from laurelcourse.standins.http import HttpStand


class DirectoryStand(HttpStand):
    def __init__(self, port: int = 0) -> None:
        self.revision, self.entries, self.calls = 1, {}, 0
        super().__init__(port)

    def put(self, name: str, at: str, phase: str = "active", build: int = 1) -> None:
        self.entries[name] = {
            "id": name,
            "host_port": at,
            "locality": "a",
            "cell": 0,
            "phase": phase,
            "size": 1.0,
            "up_since_ms": 0,
            "revision_no": build,
        }
        self.revision += 1

    def whole(self) -> dict:
        return {"revision": self.revision, "complete": True, "members": list(self.entries.values())}

    def answer(self, conn: socket.socket, method: str, target: str, query: dict) -> None:
        self.calls += 1
        over = time.monotonic() + float(query.get("hold_ms", 0)) / 1000
        while self.mode == "ok" and time.monotonic() < over and self.revision <= int(query["from"]):
            time.sleep(0.005)
        if self.mode == "silent":
            raise EOFError
        if self.mode == "half":
            conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{")
            return
        broken = {"status": (500, "{}"), "json": (200, '{"revision":'), "fields": (200, '{"revision": 3}')}
        self.reply(conn, *broken.get(self.mode, (200, json.dumps(self.whole()))))
