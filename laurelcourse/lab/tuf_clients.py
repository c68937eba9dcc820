"""Clients of the TUF lab, several in each process.

They are python-tuf clients, plain readers that verify nothing, primaries that post manifests, and readers
that leave in the middle of a file. The process reads what to do as JSON on standard input, and prints the
record of each session as JSON.
"""

import contextlib
import hashlib
import http.client
import json
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import urllib3
from tuf.api import exceptions
from tuf.ngclient import Updater

from laurelcourse.prng import Prng

# How a session ended. LEFT: the client hung up.
COMPLETED = "completed"
SHED = "shed"
ERRORED = "errored"
CUT = "cut"
NONE = "none"  # no answer in time
LEFT = "left"

# Kinds of clients.
TUF = "tuf"
PLAIN = "plain"
MANIFEST = "manifest"
LEAVE = "leave"

LATE_ANSWER_SECONDS = 0.75  # by which a busy machine may be late
CONNECTION_TIMEOUT = 30.0  # seconds
EXTRA_BYTES_TIMEOUT = 0.02  # seconds
FIRST_PART_BYTES = 1500  # of a file that is fetched in two parts
LEAVE_AFTER_BYTES = 50_000
MANIFEST_POSTS = 3
MANIFEST_PAUSE = 0.3  # seconds between two posts


def file_content(path: str, version: int, size: int) -> bytes:
    """Returns the bytes of a version of a file, which can be checked without any other source."""
    head = f"{path} {version} {size}\n".encode()
    return head + hashlib.shake_256(head).digest(size - len(head))


def is_valid_content(path: str, content: bytes) -> bool:
    """Whether these are all bytes of some version of this path."""
    head, _, _ = content.partition(b"\n")
    try:
        name, version, size = head.decode().split(" ")
        return (
            name == path
            and int(size) == len(content)
            and content == file_content(path, int(version), len(content))
        )
    except ValueError:
        return False


class LabClient:
    """One client, which works until a time (monotonic seconds) and adds records of its sessions to a list.

    `task` has its kind, the relay's number and address, repositories with their pinned roots and files, and
    the usual pause in seconds.
    """

    def __init__(self, number: int, task: dict[str, Any], until: float, records: list[dict]) -> None:
        self.number = number
        self.task = task
        self.until = until
        self.records = records
        self.rng = Prng(task["seed"] * 7919 + number)
        self.host = task["host"]
        self.port = task["port"]
        self.report_counter = 0
        self.folder = tempfile.TemporaryDirectory(prefix="laurelcourse-client-")
        self.conn: http.client.HTTPConnection | None = None

    def run(self) -> None:
        """Runs one session after another."""
        sessions = {
            TUF: self._fetch_with_tuf,
            PLAIN: self._fetch_plain,
            MANIFEST: self._post_manifest,
            LEAVE: self._leave,
        }
        run_session = sessions[self.task["kind"]]
        time.sleep(self.rng.fraction() * self.task["pace"])
        while time.monotonic() < self.until:
            run_session()
            time.sleep(self.task["pace"] * (0.5 + self.rng.fraction()))
        self.folder.cleanup()

    def _pick(self, choices: list) -> Any:  # noqa: ANN401
        return choices[self.rng.below(len(choices))]

    def _record(self, start: float, end: str, **more: object) -> None:
        self.records.append(
            {
                "client": self.number,
                "kind": self.task["kind"],
                "relay": self.task["relay"],
                "at": start,
                "took": time.monotonic() - start,
                "end": end,
            }
            | more
        )

    # python-tuf

    def _fetch_with_tuf(self) -> None:
        repository = self._pick(self.task["repositories"])
        start = time.monotonic()
        path = self._pick(repository["paths"])
        folder = Path(self.folder.name) / repository["name"]
        folder.mkdir(exist_ok=True)
        base = f"http://{self.host}:{self.port}{repository['prefix']}"

        def fetch() -> bytes:
            updater = Updater(
                str(folder),
                f"{base}metadata/",
                str(folder),
                f"{base}targets/",
                bootstrap=bytes.fromhex(repository["root"]),
            )
            updater.refresh()
            return Path(updater.download_target(updater.get_targetinfo(path))).read_bytes()

        name = repository["name"]
        try:
            wrong = int(not is_valid_content(path, fetch()))
            self._record(start, COMPLETED, wrong=wrong, what=name)
        except exceptions.DownloadHTTPError as error:
            self._record(start, SHED if error.status_code == 503 else ERRORED, what=str(error))
        except (exceptions.ExpiredMetadataError, exceptions.BadVersionNumberError) as error:
            self._record(start, ERRORED, stale=1, what=f"{name}: {error}")
        except exceptions.UnsignedMetadataError as error:
            # A root may have come out between its requests for one and for the rest: then a new start works.
            try:
                wrong = int(not is_valid_content(path, fetch()))
            except Exception:
                wrong = 1
            self._record(start, ERRORED, wrong=wrong, what=f"{name}: {error}")
        except urllib3.exceptions.MaxRetryError as error:
            # By its own rule, a 503 with a time to retry after is tried again three times.
            shed = "503" in str(error.reason)
            self._record(start, SHED if shed else CUT, what=str(error.reason))
        except exceptions.RepositoryError as error:
            self._record(start, ERRORED, wrong=1, what=f"{name}: {error}")
        except (exceptions.DownloadError, urllib3.exceptions.HTTPError, OSError) as error:
            self._record(start, CUT, what=f"{type(error).__name__} {error}")

    # Plain readers, which believe whatever is complete

    def _exchange(
        self, method: str, path: str, body: bytes | None = None, fields: dict | None = None
    ) -> tuple[int, dict, bytes, float]:
        """Returns status, fields, body and seconds. Raises OSError or http.client.HTTPException."""
        self.conn = self.conn or http.client.HTTPConnection(self.host, self.port, timeout=CONNECTION_TIMEOUT)
        start = time.monotonic()
        try:
            self.conn.request(method, path, body, fields or {})
            response = self.conn.getresponse()
            response_fields = {name.lower(): value for name, value in response.getheaders()}
            content = response.read()
        except (OSError, http.client.HTTPException):
            self._close_connection()
            raise
        if response_fields.get("connection") == "close":
            self._close_connection()
        return response.status, response_fields, content, time.monotonic() - start

    def _close_connection(self) -> None:
        if self.conn:
            self.conn.close()
            self.conn = None

    def _extra_bytes(self) -> int:
        """Returns how many bytes came that nobody asked for."""
        if self.conn is None or self.conn.sock is None:
            return 0
        self.conn.sock.settimeout(EXTRA_BYTES_TIMEOUT)
        try:
            return len(self.conn.sock.recv(100))
        except OSError:
            return 0
        finally:
            with contextlib.suppress(OSError, AttributeError):
                self.conn.sock.settimeout(CONNECTION_TIMEOUT)

    def _request(
        self,
        route: str,
        method: str,
        path: str,
        body: bytes | None = None,
        fields: dict | None = None,
        is_valid: Callable[[bytes], bool] | None = None,
    ) -> tuple[int, dict, bytes]:
        """Sends one request and records it; the status is 0 if the answer was cut or stayed out.

        `is_valid` judges the content of a file.
        """
        start = time.monotonic()
        try:
            status, response_fields, content, took = self._exchange(method, path, body, fields)
        except http.client.IncompleteRead as error:
            self._record(start, CUT, route=route, path=path, got=len(error.partial))
            return 0, {}, b""
        except (OSError, http.client.HTTPException) as error:
            late = time.monotonic() - start > self.task["timeouts"][route] + LATE_ANSWER_SECONDS
            self._record(start, NONE if late else CUT, route=route, path=path, what=type(error).__name__)
            return 0, {}, b""
        end = COMPLETED if status < 400 else SHED if status == 503 else ERRORED
        wrong = 0
        stale = 0
        more: dict[str, object] = {}
        if route == "target" and status in (200, 206):
            wrong = int(not is_valid(content))
        elif route == "metadata" and status == 200:
            signed = json.loads(content)["signed"]
            more["version"] = signed["version"]
            stale = int(_is_expired(signed["expires"]))
        if status >= 400:
            more["what"] = content[:80].decode(errors="replace").strip()
        self._record(
            start,
            end,
            route=route,
            path=path,
            name=path.rpartition("/")[2],
            status=status,
            wrong=wrong,
            stale=stale,
            took=took,
            extra=self._extra_bytes(),
            late=int(took > self.task["timeouts"][route] + LATE_ANSWER_SECONDS),
            age=int(response_fields.get("age", 0)),
            **more,
        )
        return status, response_fields, content

    def _pick_plain_repository(self) -> dict:
        return self._pick([one for one in self.task["repositories"] if not one["consistent"]])

    def _fetch_plain(self) -> None:
        repository = self._pick_plain_repository()
        self._close_connection()  # what one connection gives belongs together
        metadata: dict[str, dict] = {}
        for name in ("timestamp", "snapshot", "targets"):
            status, _, content = self._request(
                "metadata", "GET", f"{repository['prefix']}metadata/{name}.json"
            )
            if status != 200:
                return
            metadata[name] = json.loads(content)["signed"]
        for outer, inner in (("timestamp", "snapshot"), ("snapshot", "targets")):
            if metadata[outer]["meta"][f"{inner}.json"]["version"] != metadata[inner]["version"]:
                self._record(time.monotonic(), ERRORED, stale=1, what=f"{inner} mixed")
        path = self._pick(repository["paths"])
        url = f"{repository['prefix']}targets/{path}"
        if self.rng.below(3):
            self._request("target", "GET", url, is_valid=lambda content: is_valid_content(path, content))
        else:
            self._fetch_in_parts(path, url)

    def _fetch_in_parts(self, path: str, url: str) -> None:
        """Fetches a part of a file and then the rest; the tag shows whether both are of one version."""
        status, fields, first_part = self._request(
            "target",
            "GET",
            url,
            fields={"Range": f"bytes=0-{FIRST_PART_BYTES - 1}"},
            is_valid=lambda content: len(content) <= FIRST_PART_BYTES,
        )
        if status != 206:
            return
        size = int(fields["content-range"].rpartition("/")[2])

        def is_valid(content: bytes) -> bool:
            is_rest = len(content) == size - FIRST_PART_BYTES
            return is_valid_content(path, first_part + content if is_rest else content)

        range_fields = {"Range": f"bytes={FIRST_PART_BYTES}-{size - 1}", "If-Range": fields["etag"]}
        self._request("target", "GET", url, fields=range_fields, is_valid=is_valid)

    def _post_manifest(self) -> None:
        """Posts a report; one that may have been taken is posted again with its counter."""
        self.report_counter += 1
        body = json.dumps(
            {
                "signatures": [{"keyid": "k", "sig": "s"}],
                "signed": {
                    "vin": f"vin-{self.task['seed']}-{self.number}",
                    "report_counter": self.report_counter,
                },
            }
        ).encode()
        for _ in range(MANIFEST_POSTS):
            status, _, _ = self._request("manifest", "POST", self.task["manifests"], body)
            if status in (200, 409):  # taken, or it can't be known
                break
            time.sleep(MANIFEST_PAUSE)

    def _leave(self) -> None:
        """Asks for a large file, and hangs up in the middle of it."""
        repository = self._pick_plain_repository()
        start = time.monotonic()
        conn = http.client.HTTPConnection(self.host, self.port, timeout=CONNECTION_TIMEOUT)
        with contextlib.suppress(OSError, http.client.HTTPException):
            conn.request("GET", f"{repository['prefix']}targets/{repository['large']}")
            conn.getresponse().read(LEAVE_AFTER_BYTES)
        conn.close()
        self._record(start, LEFT)


def _is_expired(expires: str) -> bool:
    """Whether a time of metadata lies more than a second back."""
    parsed = time.strptime(expires, "%Y-%m-%dT%H:%M:%SZ")
    return time.mktime(parsed) - time.timezone < time.time() - 1


def main() -> None:
    """Runs the clients that standard input names, and prints their records."""
    tasks = json.load(sys.stdin)
    records: list[dict] = []
    until = time.monotonic() + tasks["seconds"]
    clients = [LabClient(number, tasks["common"] | task, until, records) for number, task in tasks["clients"]]
    threads = [threading.Thread(target=client.run, daemon=True) for client in clients]
    for thread in threads:
        thread.start()
    stuck = 0
    for thread in threads:
        thread.join(max(until + CONNECTION_TIMEOUT - time.monotonic(), 0.1))
        stuck += thread.is_alive()
    json.dump({"sessions": list(records), "stuck": stuck}, sys.stdout)


if __name__ == "__main__":
    main()
