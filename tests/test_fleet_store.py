"""A keeper's disk and its thread: what was acknowledged is kept, and damage is refused."""

import itertools
import json
import logging
import os
import shutil
import sqlite3
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace

import pytest

from laurelcourse.fleet import errors
from laurelcourse.fleet.books.forms import Batch, Command, Done, Fence, Open
from laurelcourse.fleet.keeper.coordinator import Coordinator
from laurelcourse.fleet.keeper.messages import Bounds, Entry, Keepers, Kept, Mark, Snapshot, TakeOver, Write
from laurelcourse.fleet.keeper.replica import DisabledReplica, Replica, open_replica
from laurelcourse.fleet.keeper.store import FILE_NAME, Store, read_log, read_marks, read_snapshot
from laurelcourse.fleet.orders import Acts, Note, Submit, Terms
from laurelcourse.prng import Prng

VOTERS = Keepers(("a", "b"), ("c",))
ROOT = Path(__file__).parent.parent
CHILD = """
import sys, resource
from pathlib import Path
from laurelcourse.fleet.keeper.messages import Entry, Keepers, Snapshot, Write
from laurelcourse.fleet.keeper.store import Store
store, limit = Store.open(Path(sys.argv[1]), "f", "a", 1), int(sys.argv[2])
if limit: resource.setrlimit(resource.RLIMIT_FSIZE, (limit, limit))
at = store.head.last
while True:
    at += 1
    snapshot = Snapshot(at - 3, at - 3, Keepers(("a",)), b"s" * 30000) if at % 7 == 0 else None
    store.save(Write(at, f"v{at}", 0, (Entry(at, at, "books", b"x" * (at * 7919 % 9000)),), snapshot))
    print(at, flush=True)
"""


def clock() -> int:
    return time.monotonic_ns() // 1000


def until(what: Callable[[], object]) -> None:
    end = time.monotonic() + 10
    while not what():
        assert time.monotonic() < end
        time.sleep(0.001)


def opened(folder: Path) -> Store:
    return Store.open(folder, "f", "a", 1)


def kept(folder: Path) -> Kept:
    store = opened(folder)
    store.close()
    return store.kept


def entry(index: int, term: int, size: int = 5) -> Entry:
    return Entry(index, term, "books", bytes([index % 256]) * size)


def filled(folder: Path) -> Store:
    """Returns a store with entries 11 to 30 after a snapshot, of terms 3 to 7."""
    store = opened(folder)
    store.save(Write(1, "b", 0, tuple(entry(at, 1, 300) for at in range(1, 11))))
    store.save(
        Write(
            7,
            "c",
            0,
            tuple(entry(at, at // 4, 300) for at in range(11, 31)),
            Snapshot(10, 1, VOTERS, b"s" * 3000),
            marks={"b": Mark("d", 7, 9), "c": Mark("e", 2, 3)},
        )
    )
    return store


def kept_by(store: Store) -> Kept:
    """Returns what would be read now; the folder is this store's."""
    return Kept(
        store.head.disk,
        store.head.term,
        store.head.vote,
        read_snapshot(store.db, store.head),
        read_log(store.db, store.head),
        read_marks(store.db, store.head),
    )


def test_any_sequence_of_writes_is_read_as_it_was_given(tmp_path: Path) -> None:
    rng, store, term, snapshot, marks = Prng(3), opened(tmp_path), 1, None, {}
    entries: list[Entry] = []
    for step in range(150):
        first = snapshot.index if snapshot else 0
        last, cut, whole, new = first + len(entries), 0, False, None
        if rng.below(6) == 0 and last:
            whole = rng.below(3) == 0
            at = last + 1 + rng.below(5) if whole else first + rng.below(last - first + 1)
            of = term if whole or at > last else next((e.term for e in entries if e.index == at), 0)
            new = Snapshot(at, of or snapshot.term, VOTERS, b"s" * step) if at else None
        if new:
            snapshot, entries = new, [] if whole else [e for e in entries if e.index > new.index]
            first, last = new.index, max(last, new.index) if not whole else new.index
        if rng.below(4) == 0 and last > first:
            cut = first + 1 + rng.below(last - first)
            entries = [e for e in entries if e.index < cut]
            last = cut - 1
        term += rng.below(2)
        more = tuple(entry(last + 1 + at, term, rng.below(3000)) for at in range(rng.below(4)))
        entries += more
        marks = {f"k{rng.below(5)}": Mark("d", term, step)} | marks if rng.below(3) == 0 else marks
        store.save(Write(term, f"v{term}", cut, more, new, whole, marks))
        if step % 10 == 9:
            store.close()
            store = opened(tmp_path)
            assert store.kept == Kept(store.kept.disk, term, f"v{term}", snapshot, tuple(entries), marks)
    store.close()


@pytest.mark.parametrize(
    "write",
    [
        Write(6, "c"),
        Write(7, "b"),
        Write(7, ""),
        Write(7, "c", 0, (entry(32, 7),)),
        Write(7, "c", 10),
        Write(7, "c", 0, (entry(31, 6),)),
        Write(7, "c", 0, (entry(31, 8),)),
        Write(7, "c", 32),
        Write(7, "c", 0, (), Snapshot(9, 1, VOTERS, b"")),
        Write(7, "c", 0, (), Snapshot(20, 4, VOTERS, b"")),
        Write(7, "c", 0, (), Snapshot(9, 1, VOTERS, b""), True),
        Write(7, "c", 0, (), Snapshot(40, 8, VOTERS, b"")),
        Write(7, "c", 20, (entry(20, 7), entry(22, 7)), Snapshot(12, 3, VOTERS, b"")),
    ],
)
def test_a_write_with_a_gap_changes_nothing(tmp_path: Path, write: Write) -> None:
    store = filled(tmp_path)
    with pytest.raises(ValueError):
        store.save(write)
    store.save(Write(8, "a", 0, (entry(31, 8),)))
    store.close()
    assert kept(tmp_path).vote == "a" and [e.index for e in kept(tmp_path).entries] == [*range(11, 32)]


@pytest.mark.parametrize(
    "sql",
    [
        "DELETE FROM log WHERE place = 20",
        "DELETE FROM log WHERE place > 29",
        "DELETE FROM log WHERE place < 12",
        "UPDATE log SET term = 4 WHERE place = 30",
        "UPDATE log SET sum = x'00' WHERE place = 20",
        "UPDATE log SET data = CAST(data AS TEXT) WHERE place = 30",
        "DELETE FROM snapshot",
        "UPDATE snapshot SET voters = 'a'",
        "UPDATE marks SET place = 8",
        "DROP TABLE marks",
        "CREATE TABLE more (a)",
        "DELETE FROM head",
        "UPDATE head SET vote = 'b'",
        "UPDATE head SET term = 8",
        "PRAGMA application_id = 1",
        "PRAGMA user_version = 0",
        "PRAGMA user_version = 2",
    ],
)
def test_outside_changes_of_the_file_are_refused(tmp_path: Path, sql: str) -> None:
    filled(tmp_path).close()
    db = sqlite3.connect(tmp_path / FILE_NAME, isolation_level=None)
    db.execute(sql)
    db.close()
    newer = sql.endswith("version = 2")
    with pytest.raises(errors.NewerBooksError if newer else errors.DamagedBooksError) as raised:
        opened(tmp_path)
    assert "\n" not in str(raised.value)


def test_a_damaged_file_is_refused_or_read_as_it_was(tmp_path: Path) -> None:
    filled(tmp_path / "whole").close()
    (tmp_path / "hurt").mkdir()
    raw, want = (tmp_path / "whole" / FILE_NAME).read_bytes(), kept(tmp_path / "whole")
    rng, refused = Prng(5), 0
    for turn in range(240):
        at, hurt = rng.below(len(raw)), bytearray(raw)
        hurt[at] ^= 1 << rng.below(8)
        (tmp_path / "hurt" / FILE_NAME).unlink(missing_ok=True)  # ext4 syncs a file that is overwritten
        (tmp_path / "hurt" / FILE_NAME).write_bytes(
            (hurt, raw[:at], raw[: at - at % 512])[max(turn - 200, 0) % 3]
        )
        try:
            assert kept(tmp_path / "hurt") == want
        except (errors.DamagedBooksError, errors.NewerBooksError):
            refused += 1
    assert 80 < refused < 240


LAST = Write(8, "a", 0, (entry(31, 8, 40),))


def test_a_last_write_torn_at_any_byte_is_refused_or_wholly_there_or_not(tmp_path: Path) -> None:
    """Without its journal, as on a disk that reported a write that it had not done.

    From the front and from the end on, so that either page may be the one that is there.
    """
    store, hurt, refused = filled(tmp_path / "a"), tmp_path / "hurt", 0
    old = (tmp_path / "a" / FILE_NAME).read_bytes()
    before = kept_by(store)
    store.save(LAST)
    store.close()
    new, after = (tmp_path / "a" / FILE_NAME).read_bytes(), kept(tmp_path / "a")
    assert (after.term, after.vote, after.entries[-1:]) == (8, "a", LAST.entries) and len(old) == len(new)
    hurt.mkdir()
    places = [at for at in range(len(new)) if old[at] != new[at]]
    results = []
    for row in (places, places[::-1]):
        torn = bytearray(old)
        for at in row[:-1]:
            torn[at] = new[at]
            (hurt / FILE_NAME).unlink(missing_ok=True)
            (hurt / FILE_NAME).write_bytes(torn)
            try:
                results.append(kept(hurt))
            except errors.DamagedBooksError:
                refused += 1
    # As before, too, while only free room of a page has changed.
    assert all(outcome in (before, after) for outcome in results)
    assert refused + len(results) == 2 * len(places) - 2 and refused > 100


class Amid:
    """A connection that has the folder copied just before it commits."""

    def __init__(self, db: sqlite3.Connection, folder: Path, to: Path) -> None:
        self.db, self.folder, self.to = db, folder, to

    def __getattr__(self, name: str) -> object:
        return getattr(self.db, name)

    def execute(self, sql: str, *more: object) -> sqlite3.Cursor:
        if sql == "COMMIT":
            shutil.copytree(self.folder, self.to)
        return self.db.execute(sql, *more)


def test_a_write_that_a_crash_cut_off_is_taken_back_wherever_it_stood(tmp_path: Path) -> None:
    """With its journal, some of its pages written, the last of them to any length; and a journal cut short,
    as no correct disk leaves it.
    """
    store, rng = filled(tmp_path / "a"), Prng(9)
    old, before = (tmp_path / "a" / FILE_NAME).read_bytes(), kept_by(store)
    real, store.db = store.db, Amid(store.db, tmp_path / "a", tmp_path / "amid")
    real.execute("PRAGMA cache_size = 1")  # pages go to the file before the end
    store.save(Write(8, "a", 25, tuple(entry(at, 8, 3000) for at in range(25, 40))))
    store.db = real
    store.close()
    amid, journal = ((tmp_path / "amid" / name).read_bytes() for name in (FILE_NAME, f"{FILE_NAME}-journal"))
    assert amid[: len(old)] != old and len(amid) > len(old) and any(journal[:8])
    hurt, refused = tmp_path / "hurt", 0
    hurt.mkdir()
    for turn in range(60):
        whole = turn < 40
        at = rng.below(len(amid)) if whole else rng.below(len(journal))
        (hurt / FILE_NAME).write_bytes(amid[:at] + old[at:] if whole else amid)
        (hurt / f"{FILE_NAME}-journal").write_bytes(journal if whole else journal[:at])
        try:
            assert kept(hurt) == before
        except errors.DamagedBooksError:
            assert not whole
            refused += 1
    assert refused > 10


def test_folders_of_another_keeper_are_refused(tmp_path: Path) -> None:
    store = opened(tmp_path / "a")
    with pytest.raises(errors.FolderInUseError):
        opened(tmp_path / "a")
    store.close()
    for fleet, keeper in (("g", "a"), ("f", "b")):
        with pytest.raises(errors.ForeignBooksError):
            Store.open(tmp_path / "a", fleet, keeper, 1)
    assert kept(tmp_path / "a").disk != kept(tmp_path / "b").disk
    (tmp_path / "a" / FILE_NAME).write_bytes(b"")
    with pytest.raises(errors.DamagedBooksError, match="it is empty"):
        opened(tmp_path / "a")
    for folder in (tmp_path / "a" / FILE_NAME, Path("/proc/no")):
        with pytest.raises(errors.DiskFailedError):
            opened(folder)


def test_a_full_disk_keeps_the_former_state_and_recovers(tmp_path: Path) -> None:
    store = filled(tmp_path)
    most = store.db.execute("PRAGMA page_count").fetchone()[0] + 2
    store.db.execute(f"PRAGMA max_page_count = {most}")
    write = Write(9, "b", 25, tuple(entry(at, 9, 9000) for at in range(25, 35)))
    for _ in range(3):
        with pytest.raises(errors.DiskFullError):
            store.save(write)
    store.save(Write(8, "a"))
    store.db.execute("PRAGMA max_page_count = 1000000")
    store.save(write)
    for only in ("ON", "OFF"):  # a disk that failed once is not trusted again
        store.db.execute(f"PRAGMA query_only = {only}")
        with pytest.raises(errors.DiskFailedError):
            store.save(Write(10, "c"))
    store.close()
    assert (kept(tmp_path).vote, kept(tmp_path).entries[-10:]) == ("b", write.entries)


def test_whatever_was_acknowledged_outlives_kill_9_and_a_failing_disk(tmp_path: Path) -> None:
    rng, last, acknowledged, fault = Prng(11), 0, tmp_path / "told", tmp_path / "fault"
    for turn in range(int(os.environ.get("KILLS", "8"))):
        limit = 0 if turn else 40_000  # bytes that a file may have, once: a failing write, told as such
        order = [sys.executable, "-c", CHILD, str(tmp_path), str(limit)]
        with (
            acknowledged.open("w") as out,
            fault.open("w") as err,
            subprocess.Popen(order, cwd=ROOT, stdout=out, stderr=err) as process,
        ):
            try:
                lines = 1 + rng.below(12)
                until(lambda: process.poll() is not None or acknowledged.read_text().count("\n") >= lines)  # noqa: B023
                time.sleep(rng.below(3000) / 1e6)  # the moment of the fault, anywhere between two writes
            finally:
                process.kill() if turn else process.wait(10)
        assert turn or errors.DiskFailedError.__name__ in fault.read_text()
        last, now = max([last, *map(int, acknowledged.read_text().split("\n")[:-1])]), kept(tmp_path)
        assert last <= now.term <= last + 1 and now.vote == f"v{now.term}"
        assert now.entries[-1].index == now.term and now.entries[-1].data == b"x" * (now.term * 7919 % 9000)
        last = now.term


# The thread


class Scripted:
    """A coordinator and a store in one: calls are in `seen`, results come from `says`."""

    def __init__(self, **says: object) -> None:
        self.name, self.role, self.seen, self.says = "a", "follower", [], says
        self.terms = SimpleNamespace(bounds=Bounds(5_000, 50_000, 1 << 16, 8, 1 << 14, 4))
        self.core = SimpleNamespace(role="follower", keepers=VOTERS)
        self.full = self.closed = False
        self.free, self.saved = threading.Event(), 0
        self.free.set()
        self.log = logging.getLogger(f"scripted.{id(self)}")

    def due(self) -> int:
        return 1 << 62

    def _said(self, what: str, *of: object) -> Acts:
        self.seen.append((what, *of))
        assert self.free.wait(10)
        acts = self.says.get(what, Acts())
        if isinstance(acts, Exception):
            raise acts
        return acts._replace(answers=tuple((of[0], answer) for _, answer in acts.answers))

    def hear(self, now: int, sender: str, message: object) -> Acts:
        return self._said("hear", sender)

    def submit(self, now: int, token: int, submit: Submit) -> Acts:
        return self._said("submit", token)

    renew = ask = change = submit

    def stop(self, now: int) -> Acts:
        return self._said("stop")

    def save(self, write: Write) -> None:
        self.seen.append(("save", write))
        if "save" in self.says:
            raise self.says["save"]
        self.saved += 1

    def close(self) -> None:
        self.closed = True

    def begin(self) -> Replica:
        return Replica(self, self, self.send, clock, self.log)

    def send(self, to: str, message: object) -> None:
        self.seen.append(("send", to, message))
        if to == "b":
            raise OSError("shut")


WRITE, ORDER = Write(3, "b"), Submit(())
ACTS = Acts(
    WRITE,
    (("b", TakeOver(3)), ("c", TakeOver(3))),
    ((0, Done("yes")),),
    (Note("warning", "said", (("name", "x"), ("of", 1))),),
)


def test_messages_follow_their_write_also_after_a_full_disk(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    desk = Scripted(submit=ACTS, save=errors.DiskFullError("d"))
    desk.free.clear()
    future = desk.begin()
    first = future.submit(ORDER)
    until(lambda: desk.seen)
    second = future.submit(ORDER)
    desk.free.set()
    until(lambda: desk.seen.count(("save", WRITE)) > 2)
    assert isinstance(second.exception(10), errors.DiskFullError)
    assert {what for what, *_ in desk.seen} == {"submit", "save"} and not first.done()
    assert isinstance(future.renew(None).exception(10), errors.DiskFullError)
    future.heard("b", TakeOver(1))
    del desk.says["save"]
    assert first.result(10) == Done("yes")
    assert future.submit(ORDER).result(10) == Done("yes")
    tail = [("save", WRITE), ("send", "b", TakeOver(3)), ("send", "c", TakeOver(3))]
    assert [call for call in desk.seen if call[0] != "submit"][-6:] == tail + tail and desk.saved == 2
    assert not [call for call in desk.seen if call[0] == "hear"]
    assert future.stop(1_000_000) and desk.closed
    assert [record.message for record in caplog.records] == [
        "keeper steps out",
        "keeper goes on, there is room again",
        *["a message could not be sent", "said"] * 2,
    ]
    assert (caplog.records[-1].of_name, caplog.records[-1].of) == ("x", 1)


@pytest.mark.parametrize(
    "says, error",
    [
        ({"save": errors.DiskFailedError("d", fault="x")}, errors.DiskFailedError),
        ({"hear": ZeroDivisionError("x\ny")}, errors.KeeperFaultError),
    ],
)
def test_a_failing_disk_or_a_fault_ends_the_keepers_part_and_nothing_else(
    says: dict, error: type, caplog: pytest.LogCaptureFixture
) -> None:
    desk = Scripted(**({"hear": ACTS} | says))
    replica = desk.begin()
    taken = replica.submit(ORDER)  # never answered by this desk
    until(lambda: ("submit", 1) in desk.seen)
    desk.free.clear()
    replica.heard("b", TakeOver(1))
    until(lambda: ("hear", "b") in desk.seen)
    waits = replica.ask(None)
    desk.free.set()
    for future in (taken, waits):
        assert isinstance(future.exception(10), error)
    assert isinstance(replica.change(VOTERS).exception(10), error)
    until(lambda: desk.closed)
    assert replica.stop(1_000_000) and not [call for call in desk.seen if call[0] in ("send", "ask", "stop")]
    assert [record.message for record in caplog.records] == ["keeper takes part no more"]
    assert bool(caplog.records[0].exc_info) == (error is errors.KeeperFaultError)


def test_events_get_a_time_read_after_they_came() -> None:
    """A time read before this thread waited would count a lease from before the relay asked."""
    desk, ticks, results = Scripted(), itertools.count(1), []

    def noted(now: int, *of: object) -> Acts:
        results.append((now, came_at[0]))
        return Acts(answers=((of[0], Done("yes")),) if isinstance(of[0], int) else ())

    desk.submit = desk.renew = desk.ask = desk.change = desk.hear = noted
    came_at = [0]
    replica = Replica(desk, desk, desk.send, lambda: next(ticks), desk.log)
    for turn in range(40):  # nearly always it waits for the next one by then
        for ask in (replica.submit, replica.renew, replica.ask, replica.change):
            came_at[0] = next(ticks)
            assert ask(None).result(10) == Done("yes")
        came_at[0] = next(ticks)
        replica.heard("b", TakeOver(1))
        until(lambda: len(results) == 5 * (turn + 1))  # noqa: B023
    assert all(now > after for now, after in results)
    assert replica.stop(1_000_000)


def test_queues_are_bounded_and_a_stop_waits_for_another_to_lead() -> None:
    desk = Scripted(submit=Acts(answers=((0, Done("yes")),)))
    desk.core.role = "leader"
    future = desk.begin()
    desk.free.clear()
    future.heard("b", TakeOver(1))
    until(lambda: desk.seen)
    futures = [future.submit(ORDER) for _ in range(4)]
    assert futures[1].cancel() and isinstance(future.submit(ORDER).exception(10), errors.OverloadedError)
    for _ in range(5):
        future.heard("c", TakeOver(1))
    assert future.messages_lost == 1
    desk.free.set()
    assert [futures[at].result(10) for at in (0, 2, 3)] == [Done("yes")] * 3
    ended = threading.Thread(target=future.stop, args=(5_000_000,))
    ended.start()
    until(lambda: ("stop",) in desk.seen)
    assert isinstance(future.submit(ORDER).exception(10), errors.StoppingError)
    future.heard("d", TakeOver(1))
    until(lambda: ("hear", "d") in desk.seen)
    desk.core.role = "follower"
    future.heard("d", TakeOver(1))
    ended.join(3)
    assert desk.closed and not future.thread.is_alive()


def test_a_stop_does_not_wait_for_disk_space_forever() -> None:
    desk = Scripted(submit=ACTS, save=errors.DiskFullError("d"))
    future = desk.begin()
    first = future.submit(ORDER)
    until(lambda: desk.seen.count(("save", WRITE)))
    assert future.stop(20_000) or future.stop(1_000_000)
    assert isinstance(first.exception(10), errors.UnknownFateError) and desk.closed


def test_a_single_keeper_resumes_and_a_damaged_one_is_disabled(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    bounds = Bounds(5_000, 50_000, 1 << 16, 8, 1 << 14, 64)
    terms = Terms("f", 60_000_000, 1000, 20_000, 8, bounds, Keepers(("a",)), (), 4)

    def encode(batch: Batch) -> bytes:
        return json.dumps(
            [batch.at, batch.term, [[command.mark, *command.what] for command in batch.commands]]
        ).encode()

    def decode(data: bytes) -> Batch:
        at, term, opens = json.loads(data)
        return Batch(at, term, tuple(Command(None, mark, Open(*what)) for mark, *what in opens))

    def begun() -> Replica | DisabledReplica:
        return open_replica(
            tmp_path,
            "f",
            "a",
            1,
            lambda kept: Coordinator("a", "s", terms, Prng(1), kept, clock(), encode=encode, decode=decode),
            lambda to, message: None,
            clock,
            logging.getLogger("alone"),
        )

    for boot in range(1, 6):
        replica = begun()
        until(lambda: replica.coordinator.core.role == "leader" and replica.coordinator.leader_state)  # noqa: B023
        done = replica.submit(Submit((Command(None, boot, Open(f"r{boot}", "s")),))).result(10)
        assert isinstance(done[0].value, Fence) and done[0].value.session == boot
        assert replica.stop(2_000_000)
    for _ in range(2):  # the folder is let go of when no desk can be made
        with pytest.raises(AttributeError):
            open_replica(
                tmp_path, "f", "a", 1, lambda kept: kept.no, print, clock, logging.getLogger("alone")
            )
    raw = (tmp_path / FILE_NAME).read_bytes()
    (tmp_path / FILE_NAME).write_bytes(raw[: len(raw) // 2])
    caplog.clear()
    replica = begun()
    assert isinstance(replica, DisabledReplica) and isinstance(
        replica.renew(None).exception(10), errors.DamagedBooksError
    )
    assert [record.message for record in caplog.records] == ["keeper takes no part"] and replica.stop(0)
