"""Relays with a TUF front, over sockets, among mirrors that fail in every way."""

import contextlib
import hashlib
import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from conftest import ROOT, Served
from tuf.ngclient import Updater

from laurelcourse.lab.tuf_rig import TufRig
from laurelcourse.standins.base import RELAY_HOST, wait_until
from laurelcourse.standins.mirror import MirrorStandIn
from laurelcourse.standins.postgres import build_query
from laurelcourse.standins.repository import TufRepository

LARGE = bytes(range(256)) * 8192  # 2 MiB
SMALL = b"small" * 100
META, FILES = "/image/metadata/", "/image/targets/"


def published(consistent: bool = False, **kinds: object) -> TufRepository:
    """Returns a repository without consistent snapshots, where paths say nothing of hashes."""
    made = TufRepository(consistent, **kinds)
    made.add("large.bin", LARGE)
    made.add("small.bin", SMALL)
    made.publish()
    return made


@pytest.fixture
def serve(tmp_path: Path) -> Iterator[Callable[..., TufRig]]:
    with contextlib.ExitStack() as stack:

        def start(repository: TufRepository, mirrors: int = 3, rate: float = 0.0, **kinds: object) -> TufRig:
            stands = [MirrorStandIn({"/image/": repository}, rate) for _ in range(mirrors)]
            rig = TufRig(tmp_path, {"/image/": repository}, stands, **kinds)
            return stack.enter_context(contextlib.closing(rig)).start()

        yield start


@pytest.fixture(scope="module")
def shared(tmp_path_factory: pytest.TempPathFactory) -> Iterator[TufRig]:
    repository = published()
    with contextlib.closing(
        TufRig(
            tmp_path_factory.mktemp("shared"),
            {"/image/": repository},
            [MirrorStandIn({"/image/": repository}) for _ in range(3)],
        )
    ) as rig:
        yield rig.start()


def updater(rig: TufRig, folder: Path, repository: TufRepository) -> Updater:
    folder.mkdir()
    return Updater(str(folder), rig.url(META), str(folder), rig.url(FILES), bootstrap=repository.pinned)


def fetch(rig: TufRig) -> None:
    """Fetches a file that need not end before its test does."""
    with contextlib.suppress(OSError, http.client.HTTPException):
        rig.request(FILES + "large.bin")


@pytest.mark.parametrize("consistent", [True, False])
def test_an_unmodified_client_works_over_rotations_and_delegations(
    serve: Callable[..., TufRig], tmp_path: Path, consistent: bool
) -> None:
    repository = published(consistent)
    repository.delegate("targets", "dev", ["dev/*"])
    repository.add("dev/a.bin", b"dev" * 999, "dev")
    repository.publish()
    rig = serve(repository)
    for turn in range(3):
        client = updater(rig, tmp_path / f"kiosk-{turn}", repository)
        client.refresh()
        for path, data in repository.data.items():
            assert Path(client.download_target(client.get_targetinfo(path))).read_bytes() == data
        assert client.get_targetinfo("nowhere.bin") is None
        for role in ("root", "timestamp", "snapshot", "targets"):
            repository.rotate(role)
        repository.add(f"more-{turn}.bin", os.urandom(5000))
        repository.publish()
        for mirror in rig.mirrors:
            mirror.sync()
        time.sleep(0.6)  # what was proven before is given without asking for so long
    assert rig.counter("module_faults") == 0


@pytest.mark.parametrize(
    "fault", ["mixed", "forged", "flipped", "endless", "failing", "busy", "silent", "reset"]
)
def test_invalid_metadata_is_never_passed_on(serve: Callable[..., TufRig], fault: str) -> None:
    repository = published()
    rig = serve(repository, mirrors=2)
    repository.publish()
    good, bad = rig.mirrors
    good.sync()
    bad.sync()
    bad.modes["metadata"] = fault
    for _ in range(4):
        for name in ("timestamp.json", "snapshot.json", "targets.json"):
            status, _, raw = rig.request(META + name)
            assert status == 200 and raw == repository.newest.metadata[name]
        time.sleep(0.3)


def test_a_frozen_mirror_is_excluded_and_the_newest_metadata_served(serve: Callable[..., TufRig]) -> None:
    repository = published()
    rig = serve(repository, mirrors=2)
    rig.mirrors[1].sync()
    repository.publish()
    rig.mirrors[0].sync()  # the other is frozen
    wait_until(lambda: json.loads(rig.request(META + "timestamp.json")[2])["signed"]["version"] == 2)
    for _ in range(6):
        time.sleep(0.3)
        assert json.loads(rig.request(META + "timestamp.json")[2])["signed"]["version"] == 2
    assert rig.counter("mirrors_behind") >= 1 and rig.counter("mirrors_wrong") == 0


def test_what_has_expired_is_refused_also_when_it_expires_while_serving(serve: Callable[..., TufRig]) -> None:
    repository = published(lifetime=2.0)
    rig = serve(repository)
    assert rig.request(META + "timestamp.json")[0] == 200
    wait_until(lambda: rig.request(META + "timestamp.json")[0] == 503)
    for name in ("timestamp.json", "snapshot.json", "targets.json"):
        status, fields, _ = rig.request(META + name)
        assert status == 503 and int(fields["retry-after"]) >= 1
    repository.publish(expires=600)
    for mirror in rig.mirrors:
        mirror.sync()
    wait_until(lambda: rig.request(META + "timestamp.json")[0] == 200)


def test_while_all_mirrors_fail_what_is_proven_is_given_with_its_age_as_long_as_it_may(
    serve: Callable[..., TufRig],
) -> None:
    rig = serve(published(), overrides={"freshness": {"serve-proven": "3s"}})
    assert rig.request(META + "timestamp.json")[0] == 200
    for mirror in rig.mirrors:
        mirror.mode = "failing"
    time.sleep(1.2)
    status, fields, _ = rig.request(META + "timestamp.json")
    assert status == 200 and int(fields["age"]) >= 1
    wait_until(lambda: rig.request(META + "timestamp.json")[0] == 503)
    began = time.monotonic()
    assert rig.request(META + "timestamp.json")[0] == 503 and time.monotonic() - began < 1.0
    for mirror in rig.mirrors:
        mirror.mode = "ok"
    wait_until(lambda: rig.request(META + "timestamp.json")[0] == 200, 20)


def test_simultaneous_requests_share_one_try_and_its_failure(serve: Callable[..., TufRig]) -> None:
    rig = serve(published(), mirrors=1)
    rig.mirrors[0].mode = "slow"
    statuses: list[int] = []

    def ask() -> None:
        statuses.append(rig.request(META + "timestamp.json")[0])

    for status, tries in ((200, 1), (503, 5)):
        before = rig.count_mirror_requests("timestamp")
        threads = [threading.Thread(target=ask) for _ in range(60)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert statuses == [status] * 60 and rig.count_mirror_requests("timestamp") - before <= tries
        statuses.clear()
        rig.mirrors[0].mode = "failing"
        rig.relays[0].kill()
        rig.relays[0].start()


@pytest.mark.parametrize(
    "fault",
    ["flipped", "longer", "shorter", "stall", "drip", "torn", "elsewhere", "failing", "busy", "reset"],
)
@pytest.mark.parametrize("path, data", [("small.bin", SMALL), ("large.bin", LARGE)], ids=["small", "large"])
def test_a_file_is_whole_or_cut_and_cut_only_where_a_bad_end_could_not_be_known(
    serve: Callable[..., TufRig], fault: str, path: str, data: bytes
) -> None:
    rig = serve(published(), mirrors=2, overrides={"limits": {"floor-over": "300ms"}})
    rig.mirrors[0].modes["target"] = fault
    whole = cut = 0
    for _ in range(6):
        try:
            status, _, raw = rig.request(FILES + path)
            assert status == 200 and raw == data
            whole += 1
        except http.client.IncompleteRead as error:
            assert len(error.partial) < len(data)
            cut += 1
    may_be_cut = fault in ("flipped", "elsewhere") and path == "large.bin"
    assert whole >= 4 and cut <= (2 if may_be_cut else 0)


def test_a_stalled_download_continues_at_another_mirror(serve: Callable[..., TufRig]) -> None:
    rig = serve(published(), mirrors=2, overrides={"limits": {"floor-over": "300ms"}})
    for mirror in rig.mirrors:
        mirror.modes["target"] = "stall"
    first = threading.Timer(0.2, lambda: [mirror.modes.clear() for mirror in rig.mirrors])
    first.start()
    assert rig.request(FILES + "large.bin")[2] == LARGE
    spans = [request.span for mirror in rig.mirrors for request in mirror.requests if request.span]
    assert spans and all(span.startswith("bytes=1048576-") for span in spans)
    assert rig.counter("bytes_fetched") < 1.1 * len(LARGE)


@pytest.mark.parametrize("fault", ["unranged", "misranged"])
def test_wrong_range_answers_are_detected(serve: Callable[..., TufRig], fault: str) -> None:
    rig = serve(published(), mirrors=3, overrides={"limits": {"floor-over": "300ms"}})
    rig.mirrors[0].modes["target"], rig.mirrors[1].modes["target"] = "torn", fault
    for _ in range(5):
        assert rig.request(FILES + "large.bin")[2] == LARGE


def test_ranges_and_heads_are_answered_from_verified_data(shared: TufRig) -> None:
    etag = f'"sha256:{hashlib.sha256(LARGE).hexdigest()}:{len(LARGE)}"'
    for span, first, last in (
        ("bytes=0-0", 0, 0),
        ("bytes=1000000-1100000", 1_000_000, 1_100_000),
        ("bytes=-5", len(LARGE) - 5, len(LARGE) - 1),
    ):
        status, fields, raw = shared.request(FILES + "large.bin", Range=span)
        assert status == 206 and raw == LARGE[first : last + 1] and fields["etag"] == etag
        assert fields["content-range"] == f"bytes {first}-{last}/{len(LARGE)}"
    assert shared.request(FILES + "large.bin", Range="bytes=2097152-")[0] == 416
    status, fields, raw = shared.request(FILES + "large.bin", "HEAD")
    assert (status, int(fields["content-length"]), raw) == (200, len(LARGE), b"")
    assert shared.request(META + "timestamp.json", "HEAD")[2] == b""
    for path in (
        FILES + "none.bin",
        META + "none.json",
        META + "9.root.json",
        "/other",
        FILES + "../x",
        FILES + "%ff",
    ):
        assert shared.request(path)[0] == 404
    assert shared.request(META + "timestamp.json", "DELETE")[0] == 405
    assert shared.request(META + "timestamp.json", "POST", b"{}")[0] == 405


@pytest.mark.parametrize(
    "raw, status",
    [
        (b"GET / HTTP/1.1\nHost: a\n\n", 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nA: b\r\n c\r\n\r\n", 400),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
        (b"GET / HTTP/1.1\r\nHost: a\r\n" + b"A: b\r\n" * 5000, 431),
        (b"GET / HTTP/1.1\r\nHost: a", 408),
    ],
    ids=["bare", "folded", "both", "endless", "unfinished"],
)
def test_malformed_requests_get_one_answer_and_a_close(shared: TufRig, raw: bytes, status: int) -> None:
    with socket.create_connection((RELAY_HOST, shared.ports[0])) as sock:
        sock.settimeout(10)
        sock.sendall(raw)
        with sock.makefile("rb") as stream:
            problems = stream.read()
    assert problems.startswith(f"HTTP/1.1 {status} ".encode()) and problems.count(b"HTTP/1.1") == 1


def test_a_connection_is_kept_and_requests_are_answered_in_order(shared: TufRig) -> None:
    asked = b"".join(
        f"GET {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode()
        for path in (META + "timestamp.json", FILES + "small.bin", META + "none.json", FILES + "small.bin")
    )
    with socket.create_connection((RELAY_HOST, shared.ports[0])) as sock:
        sock.settimeout(10)
        for byte in asked:
            sock.sendall(bytes([byte]))
        results = []
        with sock.makefile("rb") as stream:
            for _ in range(4):
                status = stream.readline().split()[1]
                fields = dict(line.strip().lower().split(b": ") for line in iter(stream.readline, b"\r\n"))
                results.append((status, stream.read(int(fields[b"content-length"]))))
    assert [status for status, _ in results] == [b"200", b"200", b"404", b"200"]
    assert results[1][1] == results[3][1] == SMALL


def test_a_file_on_a_draining_mirror_moves_within_two_seconds(serve: Callable[..., TufRig]) -> None:
    rig = serve(published(), mirrors=2, rate=500_000)
    got: list[bytes] = []
    threads = [
        threading.Thread(target=lambda: got.append(rig.request(FILES + "large.bin")[2])) for _ in range(4)
    ]
    for thread in threads:
        thread.start()
    wait_until(
        lambda: all(any("large" in request.path for request in mirror.requests) for mirror in rig.mirrors)
    )
    time.sleep(0.5)
    drained, at = rig.mirrors[0], time.monotonic()
    rig.list_mirror("m-0", drained, "leaving")
    for thread in threads:
        thread.join()
    assert got == [LARGE] * 4
    assert all(request.last < at + 2.0 for request in drained.requests) and any(
        request.span for request in rig.mirrors[1].requests
    )


def test_a_client_that_leaves_ends_its_download(
    serve: Callable[..., TufRig],
) -> None:
    rig = serve(published(), mirrors=2, rate=400_000)
    with socket.create_connection((RELAY_HOST, rig.ports[0])) as sock:
        sock.sendall(f"GET {FILES}large.bin HTTP/1.1\r\nHost: a\r\n\r\n".encode())
        assert sock.recv(1000)
    wait_until(lambda: rig.counter("reqs.target.withdrawn") == 1)
    assert rig.count_mirror_requests("large") == 1
    assert sum(
        request.sent for mirror in rig.mirrors for request in mirror.requests if "large" in request.path
    ) < len(LARGE)


def test_a_reader_below_the_minimum_rate_is_closed(serve: Callable[..., TufRig]) -> None:
    repository = published()
    repository.add("huge.bin", bytes(32 << 20))
    repository.publish()
    rig = serve(repository, overrides={"limits": {"floor-over": "200ms", "floor": "64KiB/s"}})
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect((RELAY_HOST, rig.ports[0]))
        sock.sendall(f"GET {FILES}huge.bin HTTP/1.1\r\nHost: a\r\n\r\n".encode())
        assert rig.request(FILES + "large.bin")[2] == LARGE
        wait_until(lambda: rig.counter("reqs.target.withdrawn") == 1, 8)
    assert rig.counter("reqs.target.completed") == 1


def test_files_beyond_the_limit_are_refused_and_metadata_is_not(
    serve: Callable[..., TufRig],
) -> None:
    rig = serve(published(), rate=200_000, overrides={"limits": {"files-per-client": "2"}})
    done = [threading.Thread(target=fetch, args=(rig,), daemon=True) for _ in range(2)]
    for thread in done:
        thread.start()
    wait_until(lambda: rig.count_mirror_requests("large") == 2)
    began = time.monotonic()
    status, fields, _ = rig.request(FILES + "small.bin")
    assert status == 503 and int(fields["retry-after"]) >= 1 and time.monotonic() - began < 0.5
    assert rig.request(META + "timestamp.json")[0] == 200


def test_downloads_beyond_a_mirrors_limit_go_to_another(serve: Callable[..., TufRig]) -> None:
    rig = serve(published(), mirrors=2, rate=400_000, overrides={"limits": {"files-per-mirror": "2"}})
    threads = [threading.Thread(target=fetch, args=(rig,), daemon=True) for _ in range(4)]
    for place, thread in enumerate(threads):
        thread.start()
        wait_until(lambda place=place: rig.count_mirror_requests("large") > place)
    assert [sum("large" in request.path for request in mirror.requests) for mirror in rig.mirrors] == [2, 2]


@pytest.mark.parametrize("depth, loop, status", [(4, False, 200), (4, True, 200), (50, False, 404)])
def test_looping_or_deep_delegations_get_one_answer(
    serve: Callable[..., TufRig], depth: int, loop: bool, status: int
) -> None:
    repository = published()
    for place in range(depth):
        repository.delegate(f"r{place - 1}" if place else "targets", f"r{place}", ["deep.*"])
    if loop:
        repository.delegate(f"r{depth - 1}", "r0", ["deep.*"])
    repository.add("deep.bin", b"deep", f"r{depth - 1}")
    repository.publish()
    rig = serve(repository)
    assert rig.request(FILES + "deep.bin")[0] == status
    assert rig.request(FILES + "deep.none")[0] == 404 and rig.count_mirror_requests("/r") <= 33


def test_verified_state_survives_a_kill(
    serve: Callable[..., TufRig],
) -> None:
    repository = published()
    repository.rotate("root")
    repository.publish(ahead=5)
    rig = serve(repository, overrides={"state": {"folder": "state"}})
    assert rig.request(META + "timestamp.json")[0] == 200
    state = rig.relays[0].folder / "state" / "image.proven"
    wait_until(state.exists)
    rig.relays[0].process.send_signal(signal.SIGKILL)
    rig.relays[0].kill()
    for mirror in rig.mirrors:
        mirror.revision["/image/"] = repository.revisions[0]
    rig.relays[0].start()
    status, _, raw = rig.request(META + "timestamp.json")
    assert status == 200 and raw == repository.newest.metadata["timestamp.json"]
    state.write_bytes(state.read_bytes()[:-9])
    rig.relays[0].kill()
    rig.relays[0].start()
    assert "can't be used, the pinned root counts" in rig.relays[0].log.read_text()
    assert rig.request(META + "timestamp.json")[2] == repository.revisions[0].metadata["timestamp.json"]


UPTANE = {"uptane": {"director": "director", "image": "image", "manifests": "/director/manifest"}}
COUNTED = {"uptane": UPTANE["uptane"] | {"counter": "report_counter"}}


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Callable[..., TufRig]]:
    with contextlib.ExitStack() as stack:

        def start(changed: dict, director: str = "") -> TufRig:
            image, chief = published(), TufRepository()
            image.add("fw.bin", b"fw" * 50, custom={"hardwareIds": ["ecu-a"]})
            image.add("other.bin", b"other")
            chief.add("fw.bin", b"fw" * 50, custom={"ecuIdentifiers": {"1": {"hardwareId": "ecu-a"}}})
            chief.add("other.bin", b"another")
            both = {"/image/": image, "/director/": chief}
            for repository in both.values():
                repository.publish()
            mirrors = [MirrorStandIn(both, director=director) for _ in range(2)]
            rig = TufRig(tmp_path, both, mirrors, overrides=changed)
            return stack.enter_context(contextlib.closing(rig)).start()

        yield start


def manifest(vin: str, count: int) -> bytes:
    return json.dumps({"signatures": [], "signed": {"vin": vin, "report_counter": count}}).encode()


def test_an_image_passes_only_if_director_and_image_repository_agree(fleet: Callable[..., TufRig]) -> None:
    rig = fleet(UPTANE)
    assert rig.request(FILES + "fw.bin")[2] == b"fw" * 50
    assert rig.request(FILES + "other.bin")[0] == 409 and rig.count_mirror_requests("other.bin") == 0
    assert rig.request(FILES + "small.bin")[0] == 404  # the director names none such


@pytest.mark.parametrize("changed, director, effects", [(UPTANE, "", 1), (COUNTED, "deduped", 1)])
def test_a_manifest_whose_answer_is_lost_never_has_its_effect_twice(
    fleet: Callable[..., TufRig], changed: dict, director: str, effects: int
) -> None:
    rig = fleet(changed, director)
    path = "/director/manifest"
    assert rig.request(path, "POST", manifest("v1", 1))[::2] == (200, b'{"taken": true}')
    for mirror in rig.mirrors:
        mirror.modes["manifest"] = "lost"
        if director:
            mirror.counted = rig.mirrors[0].counted  # one director behind both
    status = rig.request(path, "POST", manifest("v1", 2))[0]
    assert status == (503 if director else 502)
    for mirror in rig.mirrors:
        mirror.modes.clear()
    again = rig.request(path, "POST", manifest("v1", 2))[0]
    assert again == (200 if director else 409)
    assert rig.request(path, "POST", manifest("v1", 1))[0] == 200  # the answer that was kept
    taken = [manifest_key for mirror in rig.mirrors for manifest_key in mirror.manifests]
    assert taken.count(("v1", 2)) == effects and taken.count(("v1", 1)) == 1


@pytest.mark.parametrize(
    "body, fields, status",
    [(b"{}", {}, 400), (b"x" * 300_000, {}, 413), (manifest("v", 1), {"Transfer-Encoding": "chunked"}, 411)],
    ids=["empty", "long", "chunked"],
)
def test_malformed_manifests_are_never_forwarded(
    fleet: Callable[..., TufRig], body: bytes, fields: dict, status: int
) -> None:
    rig = fleet(UPTANE)
    assert rig.request("/director/manifest", "POST", body, **fields)[0] == status
    assert rig.count_mirror_requests("/director/manifest") == 0


def test_the_plain_relay_loads_none_of_the_libraries(tmp_path: Path) -> None:
    for name in ("lxml", "tuf", "securesystemslib", "h11", "cryptography"):
        (tmp_path / f"{name}.py").write_text(f"raise ImportError('{name} is not for the plain relay')")
    before = os.environ.get("PYTHONPATH")
    os.environ["PYTHONPATH"] = str(tmp_path)
    try:
        ran = subprocess.run([sys.executable, "-c", "import tuf"], capture_output=True, check=False)
        assert b"not for the plain relay" in ran.stderr
        with contextlib.closing(Served(tmp_path)) as served:
            assert served.client().ask(build_query())[0] == "TDCZ"
    finally:
        os.environ.pop("PYTHONPATH")
        if before is not None:
            os.environ["PYTHONPATH"] = before
    assert str(ROOT)
