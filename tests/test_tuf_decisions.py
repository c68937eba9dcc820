"""Other decisions of the TUF front: downloads, freshness, mirrors, throughput, admission, manifests."""

import json
import multiprocessing
import os
import time
from collections.abc import Callable
from pathlib import Path

import pytest
from tuf.api.metadata import TargetFile

from laurelcourse.fronts.tuf import (
    download,
    file_admission,
    freshness,
    http_messages,
    mirror_exclusion,
    state_store,
    uptane,
)
from laurelcourse.fronts.tuf.download import (
    BETWEEN_MIRRORS,
    FAILED,
    FITS,
    MISMATCH,
    NO_RANGES,
    OUTDATED,
    VERIFIED,
    BlockHashes,
    Download,
)
from laurelcourse.fronts.tuf.http_messages import BadRequestError
from laurelcourse.fronts.tuf.throughput import ThroughputMonitor
from laurelcourse.fronts.tuf.trust import Refresh, Trust
from laurelcourse.prng import Prng
from laurelcourse.standins.repository import TufRepository

SECOND, CHUNK = 1_000_000, 1000
DATA = bytes(place * 7 % 251 for place in range(20_300))


def moved(first: int = 0, last: int = len(DATA) - 1, blocks: BlockHashes | None = None) -> Download:
    target = TargetFile.from_data("a.bin", DATA, ["sha256", "sha512"])
    return Download(target, first, last, CHUNK, blocks or BlockHashes(CHUNK, 1000))


def feed(reading: Download, data: bytes, unit: int = 1, most: int | None = None, size: int = 700) -> bytes:
    """Answers as a mirror that gives what is asked of it out of these bytes, `most` of them, then breaks."""
    span = reading.range_to_ask()
    first, last = span or (0, reading.length - 1)
    status = 206 if span else 200
    range_told = (first, last, reading.length) if span else None
    assert reading.begin(unit, status, last - first + 1, range_told, None) == FITS
    out, given = b"", data[first : last + 1][:most]
    for at in range(0, len(given), size):
        out += b"".join(reading.add(given[at : at + size]))
        if reading.state != download.READING:
            break
    assert len(reading.held) <= 2 * CHUNK
    reading.leave_mirror()
    return out


@pytest.mark.parametrize("first, last", [(0, len(DATA) - 1), (0, 99), (5000, 5999), (20_000, 20_299), (7, 7)])
@pytest.mark.parametrize("known", [False, True])
def test_a_file_passes_whole_or_in_part_and_its_end_waits_for_the_proof(
    first: int, last: int, known: bool
) -> None:
    blocks = BlockHashes(CHUNK, 1000)
    if known:
        feed(moved(blocks=blocks), DATA)
    reading = moved(first, last, blocks)
    out = feed(reading, DATA)
    assert reading.state == VERIFIED and out == DATA[first : last + 1] and reading.delivered == len(out)
    assert reading.fetched <= (last - first + 1 + 2 * CHUNK if known else len(DATA))


@pytest.mark.parametrize("wrong_at", [0, 9000, len(DATA) - 1])
@pytest.mark.parametrize("first, last", [(0, len(DATA) - 1), (100, 1100)])
def test_no_complete_file_is_ever_wrong(wrong_at: int, first: int, last: int) -> None:
    spoilt = bytearray(DATA)
    spoilt[wrong_at] ^= 1
    reading = moved(first, last)
    out = feed(reading, bytes(spoilt))
    assert (
        reading.state in (FAILED, BETWEEN_MIRRORS)
        and len(out) < last - first + 1
        and reading.suspects() in ({1}, set())
    )
    if reading.state == BETWEEN_MIRRORS:
        assert not out and feed(reading, DATA, 2) == DATA[first : last + 1] and reading.state == VERIFIED


def test_a_small_wrong_file_is_fetched_again_elsewhere() -> None:
    small = b"small" * 20
    reading = Download(
        TargetFile.from_data("s", small, ["sha256"]), 0, len(small) - 1, CHUNK, BlockHashes(CHUNK, 9)
    )
    assert (
        feed(reading, bytes(len(small))) == b""
        and reading.state == BETWEEN_MIRRORS
        and reading.range_to_ask() is None
    )
    assert feed(reading, small, 2) == small and reading.state == VERIFIED


@pytest.mark.parametrize("known", [False, True])
def test_a_download_continues_from_the_byte_reached(known: bool) -> None:
    blocks = BlockHashes(CHUNK, 1000)
    if known:
        feed(moved(blocks=blocks), DATA)
    reading = moved(blocks=blocks)
    out = feed(reading, DATA, 1, 7300) + feed(reading, DATA, 2, 5000)
    assert reading.range_to_ask()[0] >= 11_000 and reading.state == BETWEEN_MIRRORS
    out += feed(reading, DATA, 3)
    assert out == DATA and reading.state == VERIFIED and reading.fetched < len(DATA) + 3 * CHUNK


def test_a_wrong_block_is_fetched_again_and_its_mirror_reported() -> None:
    blocks, spoilt = BlockHashes(CHUNK, 1000), bytearray(DATA)
    feed(moved(blocks=blocks), DATA)
    spoilt[9_500] ^= 1
    reading = moved(blocks=blocks)
    out = feed(reading, DATA, 1, 5000) + feed(reading, bytes(spoilt), 2)
    assert out == DATA[:9000] and reading.suspects() == {2} and reading.range_to_ask()[0] == 9000
    assert out + feed(reading, DATA, 3) == DATA


@pytest.mark.parametrize(
    "reached, status, length, span, older, fit",
    [
        (0, 200, len(DATA), None, None, FITS),
        (0, 200, None, None, None, FITS),
        (0, 200, 5, None, None, MISMATCH),
        (0, 200, 5, None, 5, OUTDATED),
        (0, 301, None, None, None, MISMATCH),
        (7000, 206, len(DATA) - 7000, (7000, len(DATA) - 1, len(DATA)), None, FITS),
        (7000, 206, None, (7001, len(DATA) - 1, len(DATA)), None, MISMATCH),
        (7000, 206, None, None, None, MISMATCH),
        (7000, 206, 3, (7000, len(DATA) - 1, len(DATA)), None, MISMATCH),
        (7000, 206, None, (7000, 8000, 8001), 8001, OUTDATED),
        (7000, 200, len(DATA), None, None, FITS),
        (18_000, 200, len(DATA), None, None, NO_RANGES),
    ],
)
def test_a_mirrors_response_head_is_checked_against_the_request(
    reached: int, status: int, length: int | None, span: tuple | None, older: int | None, fit: str
) -> None:
    reading = moved()
    feed(reading, DATA, 1, reached, 100) if reached else None
    assert reading.begin(2, status, length, span, older) == fit
    if fit == FITS:
        assert reading.skip == (reached if reached and status == 200 else 0)


def test_known_hashes_are_bounded_and_the_latest_used_stay() -> None:
    blocks = BlockHashes(CHUNK, 10)
    for name in ("a", "b"):
        blocks.put(name, (b"",) * 4)
    blocks.get("a")
    blocks.put("c", (b"",) * 4)
    blocks.put("d", (b"",) * 11)
    assert set(blocks.files) == {"a", "c"} and blocks.count == 8


@pytest.mark.parametrize(
    "reads, stalled",
    [
        ([(100_000, 0)] * 12, True),
        ([(200_000, 1)] * 6, True),
        ([(100_000, 5000)] * 30, False),
        ([(900_000, 0), (50_000, 90_000)], False),
        ([(0, 1 << 20)] * 50, False),
    ],
)
def test_a_mirror_stalls_by_its_throughput(reads: list, stalled: bool) -> None:
    pace = ThroughputMonitor(10_000, SECOND)
    assert all(pace.record(waited, count) for waited, count in reads) is not stalled
    assert 0 < pace.window_left() <= SECOND


def test_the_time_of_a_large_file_is_told_as_of_a_usual_one() -> None:
    pace = ThroughputMonitor(1, SECOND)
    for _ in range(32):
        pace.record(10_000, 1 << 20)
    assert pace.latency(0) == 10_000


def fresh() -> freshness.Freshness:
    return freshness.Freshness(freshness.FreshnessBounds(SECOND, 60 * SECOND, SECOND // 2), Prng(3))


def test_all_who_ask_share_one_refresh_and_its_failure() -> None:
    freshness_state, now = fresh(), 100 * SECOND
    assert freshness_state.decide(now, False) == freshness.REFRESH
    freshness_state.begin(now)
    assert [freshness_state.decide(now + place, False) for place in range(10_000)] == [
        freshness.JOIN
    ] * 10_000
    freshness_state.end(now + SECOND, False)
    assert [freshness_state.decide(now + SECOND + place, False) for place in range(1000)] == [
        freshness.REFUSE
    ] * 1000
    assert freshness_state.retry_after(now + SECOND) >= SECOND
    freshness_state.begin(now + 9 * SECOND)
    freshness_state.end(now + 9 * SECOND, True)
    assert freshness_state.decide(now + 9 * SECOND + 999_999, True) == freshness.SERVE
    assert freshness_state.decide(now + 10 * SECOND, True) == freshness.REFRESH


def test_verified_metadata_is_served_without_mirrors_for_a_while() -> None:
    freshness_state, now = fresh(), 100 * SECOND
    freshness_state.begin(now)
    freshness_state.end(now, True)
    pauses = []
    for _ in range(8):
        now += 2 * SECOND
        now = max(now, freshness_state.not_before)
        assert freshness_state.decide(now, True) == freshness.REFRESH
        freshness_state.begin(now)
        patient = freshness_state.age(now) <= 60 * SECOND
        assert freshness_state.wait_deadline(now, True, now + 3 * SECOND) == now + (
            SECOND // 2 if patient else 3 * SECOND
        )
        assert freshness_state.wait_deadline(now, False, now + 3 * SECOND) == now + 3 * SECOND
        freshness_state.end(now, False)
        pauses.append(freshness_state.not_before - now)
        assert freshness_state.decide(now, True) == (
            freshness.SERVE if freshness_state.age(now) <= 60 * SECOND else freshness.REFUSE
        )
        assert freshness_state.decide(now, False) == freshness.REFUSE
    assert pauses[5] > pauses[0] and max(pauses) <= 32 * SECOND and freshness_state.age(now) > 60 * SECOND


def mirrors(*builds: int) -> mirror_exclusion.MirrorRecords:
    made = mirror_exclusion.MirrorRecords(mirror_exclusion.ExclusionBounds(SECOND, 10 * SECOND, 0.5))
    made.set_ready(dict(enumerate(builds)))
    return made


def test_outdated_mirrors_are_excluded_briefly_and_invalid_ones_long() -> None:
    records, now = mirrors(1, 1, 1, 1), 100 * SECOND
    assert (
        records.exclude_behind(now, 0)
        and records.is_excluded(now + SECOND - 1, 0)
        and not records.is_excluded(now + SECOND, 0)
    )
    assert records.exclude_behind(now, 1) and not records.exclude_behind(now, 2)  # half of them at most
    assert records.exclude_wrong(now, 2) and records.is_excluded(now + 9 * SECOND, 2)
    assert not records.exclude_wrong(now, 3) and not records.is_excluded(now, 3)  # the last one awake
    now += SECOND
    assert records.exclude_behind(now, 0) and records.is_excluded(
        now + 2 * SECOND - 1, 0
    )  # twice as long on end
    now += 20 * SECOND
    records.record_good(0)
    assert records.exclude_behind(now, 0) and not records.is_excluded(now + SECOND, 0)
    records.set_ready({0: 2, 1: 1})
    assert not records.is_excluded(now, 0)  # another build is another mirror


def test_a_mirror_unverifiable_for_long_is_not_merely_ahead() -> None:
    records, now = mirrors(1, 1, 1, 1), 100 * SECOND
    assert not records.is_wrong_if_unverifiable(now, 0) and not records.is_wrong_if_unverifiable(
        now + 4 * SECOND - 1, 0
    )
    assert records.is_wrong_if_unverifiable(now + 4 * SECOND, 0)
    records.record_good(0)
    assert not records.is_wrong_if_unverifiable(now + 9 * SECOND, 0)


def test_the_mirror_common_to_two_wrong_files_is_at_fault() -> None:
    records, now = mirrors(1, 1, 1, 1), 100 * SECOND
    assert records.suspect(now, {0, 1}) == [] and records.suspect(now, {0, 1}) == []
    assert records.suspect(now, {0, 2}) == [0]


def test_invalid_data_of_one_mirror_is_not_blamed_on_its_build() -> None:
    records, now = mirrors(1, 1, 2, 2, 3), 100 * SECOND
    for unit, tells in ((2, False), (2, False), (3, True), (4, True)):
        records.exclude_wrong(now, unit)
        assert records.counts_against_build(now, unit) is tells, unit


def test_admission_is_limited_by_front_client_mirror_and_bytes() -> None:
    admission = file_admission.FileAdmission(file_admission.AdmissionBounds(4, 2, 2, 100))
    assert [admission.admit("a", 10) for _ in range(3)] == ["", "", file_admission.TOO_MANY_OF_CLIENT]
    assert admission.admit("b", 90) == file_admission.TOO_MANY_BYTES
    assert [admission.admit("c", 10), admission.admit("d", 10), admission.admit("e", 1)] == [
        "",
        "",
        file_admission.TOO_MANY_FILES,
    ]
    for client in "aacd":
        admission.release(client, 10)
    assert (admission.files, admission.bytes, dict(admission.by_client)) == (0, 0, {})
    assert [
        admission.begin_part(7),
        admission.begin_part(7),
        admission.is_full(7),
        admission.end_part(7),
        admission.end_part(7),
        admission.is_full(7),
    ] == [
        False,
        True,
        True,
        True,
        False,
        False,
    ]


def target(data: bytes, **custom: object) -> TargetFile:
    made = TargetFile.from_data("fw.bin", data, ["sha256"])
    made.unrecognized_fields["custom"] = custom
    return made


IMAGE = target(b"fw", hardwareIds=["ecu-a", "ecu-b"])


@pytest.mark.parametrize(
    "directed, verdict",
    [
        ([], uptane.UNDIRECTED),
        ([target(b"fw")], uptane.AGREED),
        ([target(b"fx")], uptane.DISAGREE),
        ([target(b"fw", ecuIdentifiers={"1": {"hardwareId": "ecu-a"}})], uptane.AGREED),
        ([target(b"fw", ecuIdentifiers={"1": {"hardwareId": "ecu-z"}})], uptane.DISAGREE),
        ([target(b"fx"), target(b"fw")], uptane.AGREED),
        ([TargetFile.from_data("fw.bin", b"fw", ["sha512"])], uptane.DISAGREE),
    ],
)
def test_an_image_is_checked_against_the_director(directed: list, verdict: str) -> None:
    assert uptane.compare_image(IMAGE, directed) == verdict


def body(vin: object = "v1", count: object = 1, **more: object) -> bytes:
    return json.dumps({"signed": {"vin": vin, "n": count} | more, "signatures": []}).encode()


@pytest.mark.parametrize(
    "raw",
    [
        b"",
        b"[]",
        b"{",
        b"[" * 50_000,
        b'{"signed": 1, "signatures": []}',
        b'{"signed": {"vin": "x", "n": 1}}',
        body(vin=""),
        body(vin=3),
        body(count="1"),
        body(count=True),
        body(count=1.5),
        body(vin="\ud800"),
    ],
)
def test_malformed_manifests_are_refused(raw: bytes) -> None:
    with pytest.raises(uptane.ManifestError):
        uptane.parse_manifest(raw, "n")


def test_manifests_are_told_apart_by_vehicle_and_counter() -> None:
    keys = {
        uptane.parse_manifest(raw, "n").key for raw in (body(), body(more=1), body(count=2), body(vin="v2"))
    }
    assert len(keys) == 3
    assert uptane.parse_manifest(body(), None).key != uptane.parse_manifest(body(more=1), None).key


@pytest.mark.parametrize("deduped", [False, True])
def test_a_manifest_that_may_have_been_taken_goes_again_only_where_repeats_are_dropped(deduped: bool) -> None:
    manifest_log, key, now = uptane.ManifestLog(deduped, 10 * SECOND, 3, 100, 100), b"k", 100 * SECOND
    given = uptane.DirectorAnswer(200, b"taken")
    assert manifest_log.begin(now, key) == (uptane.SEND, None) and manifest_log.begin(now, key) == (
        uptane.WAIT,
        None,
    )
    manifest_log.end(now, key, "")
    assert manifest_log.begin(now, key) == (uptane.SEND, None)  # it never left
    manifest_log.end(now, key, uptane.LOST)
    assert manifest_log.begin(now, key)[0] == (uptane.SEND if deduped else uptane.UNKNOWN)
    manifest_log.end(now, key, uptane.DONE, given)
    assert manifest_log.begin(now + 10 * SECOND, key) == (uptane.ANSWER, given)
    assert manifest_log.begin(now + 11 * SECOND, key) == (uptane.SEND, None)  # forgotten
    assert [manifest_log.begin(now + 11 * SECOND, name)[0] for name in (b"l", b"m", b"n")] == [
        uptane.SEND,
        uptane.SEND,
        uptane.WAIT,
    ]  # bounded


@pytest.mark.parametrize("deduped", [False, True])
def test_manifests_of_ever_new_names_leave_room_for_others(deduped: bool) -> None:
    """Guards against one client whose manifests took all places for as long as the director remembers."""
    manifest_log, now = uptane.ManifestLog(deduped, 10 * SECOND, 8, 100, 300), 100 * SECOND
    for number in range(20):
        if manifest_log.begin(now, b"%d" % number, "one")[0] == uptane.SEND:
            manifest_log.end(now, b"%d" % number, uptane.DONE, uptane.DirectorAnswer(200, bytes(100)))
    assert manifest_log.begin(now, b"other", "two") == (uptane.SEND, None)
    assert len(manifest_log.entries) <= 8 and manifest_log.kept_bytes <= 300
    answers = [entry.answer for entry in manifest_log.entries.values() if entry.answer]
    assert sum(len(answer.body) for answer in answers) == manifest_log.kept_bytes
    manifest_log.begin(now + 11 * SECOND, b"last", "one")
    assert set(manifest_log.entries) == {b"other", b"last"} or not deduped
    assert manifest_log.shares.taken == len(manifest_log.entries)


GET = b"GET /image/metadata/timestamp.json HTTP/1.1\r\nHost: a\r\n"


@pytest.mark.parametrize(
    "raw, status",
    [
        (b"GET / HTTP/1.1\nHost: a\n\n", 400),
        (GET + b"X: a\n\r\n", 400),
        (GET + b"X: a\r\n b\r\n\r\n", 400),
        (GET + b"Content-Length: 1\r\nContent-Length: 1\r\n\r\n", 400),
        (GET + b"Host: b\r\n\r\n", 400),
        (GET + b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
        (GET + b"Transfer-Encoding: chunked\r\n\r\n", 411),
        (GET + b"Content-Length : 1\r\n\r\n", 400),
        (GET + b"Content-Length: +1\r\n\r\n", 400),
        (GET + b"Content-Length: 1, 1\r\n\r\n", 400),
        (GET + b"X: a\0b\r\n\r\n", 400),
        (GET + b"X\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\n\r\n", 400),
        (b"GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n", 400),
        (GET + b"X: a\rb\r\n\r\n", 400),
        (GET + b"A: b\r\n" * 70 + b"\r\n", 431),
        (GET + b"A: " + b"b" * 20_000, 431),
        (b"GET /" + b"a" * 9000, 414),
        (b"GET /" + b"a" * 9000 + b" HTTP/1.1\r\nHost: a\r\n\r\n", 414),
        (b"\x16\x03\x01" + bytes(20) + b"\r\n\r\n", 400),
    ],
)
def test_a_head_that_two_parsers_might_read_in_two_ways_is_refused(raw: bytes, status: int) -> None:
    with pytest.raises(BadRequestError) as fault:
        end = http_messages.find_head_end(raw, 0, len(raw))
        assert end == len(raw)
        http_messages.parse_head(raw)
    assert fault.value.status == status


def test_a_head_is_found_however_it_is_split() -> None:
    raw = GET + b"Range: bytes=1-2\r\nConnection: close\r\n\r\n"
    assert all(http_messages.find_head_end(raw, 0, cut) is None for cut in range(len(raw)))
    head = http_messages.parse_head(raw[: http_messages.find_head_end(raw + b"more", 0, len(raw) + 4)])
    assert (head.method, head.path, head.fields["range"], head.stays) == (
        "GET",
        "/image/metadata/timestamp.json",
        "bytes=1-2",
        False,
    )


@pytest.mark.parametrize(
    "fields, span",
    [
        ({}, None),
        ({"range": "bytes=0-0"}, (0, 0)),
        ({"range": "bytes=5-"}, (5, 99)),
        ({"range": "bytes=-7"}, (93, 99)),
        ({"range": "bytes=-700"}, (0, 99)),
        ({"range": "bytes=9-700"}, (9, 99)),
        ({"range": "bytes=9-3"}, None),
        ({"range": "bytes=1-2,5-6"}, None),
        ({"range": "lines=1-2"}, None),
        ({"range": "bytes=1-2", "if-range": '"e"'}, (1, 2)),
        ({"range": "bytes=1-2", "if-range": '"f"'}, None),
        ({"range": "bytes=100-"}, 416),
        ({"range": "bytes=-0"}, 416),
    ],
)
def test_ranges_by_rfc_9110(fields: dict, span: object) -> None:
    try:
        assert http_messages.requested_range(fields, 100, '"e"') == span
    except BadRequestError as error:
        assert error.status == span


@pytest.mark.parametrize("path", ["a/../b", "a//b", "%2e%2e/a", "a%00", "a\\b", "", "a/%ff"])
def test_a_path_that_might_name_two_files_is_refused(path: str) -> None:
    with pytest.raises(BadRequestError):
        http_messages.decode_path(path)


# What was proven lasts.


@pytest.fixture
def published() -> TufRepository:
    made = TufRepository()
    made.delegate("targets", "dev", ["*"])
    made.add("a", b"a", "dev")
    made.publish()
    made.rotate("root")
    made.publish()
    return made


def proven(repository: TufRepository) -> Trust:
    trust = Trust(repository.pinned, 1 << 20)
    refresh = Refresh(trust)
    while want := refresh.next_file():
        raw = repository.newest.metadata.get(want.name)
        refresh.add_missing() if raw is None else refresh.add(raw, int(time.time() * SECOND))
    want = trust.wanted_role_file(trust.view, "dev")
    trust.add_role(trust.view, "dev", repository.newest.metadata[want.name], int(time.time() * SECOND))
    return trust


def test_stored_state_is_verified_again_from_the_pinned_root(published: TufRepository) -> None:
    now = int(time.time() * SECOND)
    state = state_store.deserialize(state_store.serialize(state_store.state_of(proven(published), now)))
    trust = Trust(published.pinned, 1 << 20)
    assert state_store.restore(trust, state, now) and trust.is_usable(now)
    assert set(trust.view.roles) == {"targets", "dev"} and trust.root.version == 2
    later = now + 7200 * SECOND
    expired = Trust(published.pinned, 1 << 20)
    assert state_store.restore(expired, state, later) and not expired.is_usable(later)  # a floor all the same
    stranger = Trust(TufRepository().pinned, 1 << 20)
    with pytest.raises(state_store.StateError):
        state_store.restore(stranger, state, now)
    forged = state._replace(
        files=state.files | published.forged() | {"timestamp": published.forged()["timestamp.json"]}
    )
    with pytest.raises(state_store.StateError):
        state_store.restore(Trust(published.pinned, 1 << 20), forged, now)


@pytest.mark.parametrize(
    "spoil",
    [
        lambda raw: raw[:-1],
        lambda raw: b"",
        lambda raw: raw.replace(b"proven_at", b"proven_by"),
        lambda raw: raw.replace(b'"format": 1', b'"format": 2'),
        lambda raw: raw[:300] + b"x" + raw[301:],
        lambda raw: b"[" * 100_000,
        lambda raw: b"null",
    ],
)
def test_a_damaged_state_file_is_ignored(
    published: TufRepository, tmp_path: Path, spoil: Callable[[bytes], bytes]
) -> None:
    raw = state_store.serialize(state_store.state_of(proven(published), 5))
    keeper = state_store.StateStore(tmp_path)
    keeper.path("image").write_bytes(raw)
    assert keeper.read("image").proven_at == 5
    keeper.path("image").write_bytes(spoil(raw))
    assert keeper.read("image") is None and keeper.read("other") is None
    keeper.close()


def _die(path: Path, raw: bytes, at: str) -> None:
    state_store.write_atomically(path, raw, lambda step: os._exit(9) if step == at else None)


@pytest.mark.parametrize(
    "at, new", [("half", False), ("written", False), ("synced", False), ("renamed", True)]
)
def test_a_process_killed_while_writing_leaves_the_old_file_or_the_new(
    tmp_path: Path, at: str, new: bool
) -> None:
    old, newer = (
        state_store.serialize(state_store.StoredState([], {"timestamp": word}, 1))
        for word in (b"old", b"new" * 9)
    )
    path = tmp_path / "image.proven"
    for _ in range(5):
        state_store.write_atomically(path, old)
        process = multiprocessing.get_context("fork").Process(target=_die, args=(path, newer, at))
        process.start()
        process.join()
        assert process.exitcode == 9 and path.read_bytes() == (newer if new else old)
        keeper = state_store.StateStore(tmp_path)
        assert [path.name for path in tmp_path.iterdir()] == ["image.proven"] and keeper.read("image")
        keeper.write("image", state_store.StoredState([], {}, 2))
        keeper.close()
        assert keeper.read("image").proven_at == 2
