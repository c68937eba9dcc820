"""Term, vote, log and snapshot of one keeper on disk: one SQLite file, durable before `save` returns.

What is kept is bound together: each entry's sum covers the sum before it, and the head's covers the first and
the last of them, the snapshot's and the marks'. So a mix of what was written at two times never passes for
either, wherever bits were lost. Only a whole older file does: that is what marks at other keepers are for.
The file is made beside its name and moved there, so that an empty or a partial one is always damage.
"""

import contextlib
import errno
import fcntl
import hashlib
import os
import sqlite3
from pathlib import Path
from typing import NamedTuple

from laurelcourse.fleet import errors
from laurelcourse.fleet.keeper.forms import Entry, Keepers, Kept, Mark, Snapshot, Write

FORM = 1
OURS = 0x4C434B31  # application_id: no other program's SQLite file is taken for a keeper's
FILE, PART, LOCK = "books.sqlite", "books.part", "books.lock"
TABLES = {
    "head": "CREATE TABLE head (disk TEXT, fleet TEXT, keeper TEXT, term INTEGER, vote TEXT, first INTEGER,"
    " last INTEGER, base BLOB, tip BLOB, snapshot BLOB, marks BLOB, sum BLOB)",
    "log": "CREATE TABLE log (place INTEGER PRIMARY KEY, term INTEGER, kind TEXT, data BLOB, sum BLOB)",
    "marks": "CREATE TABLE marks (keeper TEXT, disk TEXT, term INTEGER, place INTEGER)",
    "snapshot": "CREATE TABLE snapshot (place INTEGER, term INTEGER, voters TEXT, learners TEXT, data BLOB)",
}
# A rollback journal, not a WAL: bits lost at a WAL's end silently take back votes that were told. It stays
# there, since to cut or delete it waits for the whole file system. Commits/s, alone and on a busy disk:
# WAL 12,900, 210-640; PERSIST 3,200, 170-540; TRUNCATE 1,100, 7-24. A keeper makes a few dozen at most.
SETTINGS = (
    "journal_mode = PERSIST",
    "synchronous = EXTRA",
    "locking_mode = EXCLUSIVE",
    "cell_size_check = ON",
    "trusted_schema = OFF",
)
FULL = frozenset((errno.ENOSPC, errno.EDQUOT))
DAMAGED = frozenset(
    (
        0,
        sqlite3.SQLITE_ERROR,
        sqlite3.SQLITE_CORRUPT,
        sqlite3.SQLITE_NOTADB,
        sqlite3.SQLITE_FORMAT,
        sqlite3.SQLITE_SCHEMA,
        sqlite3.SQLITE_TOOBIG,
    )
)


class Head(NamedTuple):
    """Of entries: those of `first` and before are in the snapshot; `base` and `tip` are the sums at `first`
    and at `last`."""

    disk: str
    fleet: str
    keeper: str
    term: int
    vote: str
    first: int
    last: int
    base: bytes
    tip: bytes
    snapshot: bytes
    marks: bytes


class UnfitError(Exception):
    """What is wrong with a file."""


def summed(*columns: int | str | bytes) -> bytes:
    """BLAKE2b (RFC 7693) over all columns, each with its type and length, so that none runs into the next."""
    digest = hashlib.blake2b(digest_size=16)
    for column in columns:
        if not isinstance(column, (int, str, bytes)):
            raise UnfitError(f"a column holds {type(column).__name__}")
        raw = column if isinstance(column, bytes) else str(column).encode()
        digest.update(b"%s%d:" % (type(column).__name__.encode(), len(raw)))
        digest.update(raw)
    return digest.digest()


def of_snapshot(one: Snapshot | None) -> tuple:
    if one is None:
        return ()
    return one.index, one.term, ",".join(one.keepers.voters), ",".join(one.keepers.learners), one.data


def names(joined: str) -> tuple[str, ...]:
    return tuple(joined.split(",")) if joined else ()


class Store:
    """One process at a time holds a folder. `kept` is what the file held when it was opened."""

    def __init__(self, folder: Path, lock: int, db: sqlite3.Connection, head: Head, kept: Kept) -> None:
        self.folder, self.lock, self.db, self.head, self.kept = folder, lock, db, head, kept
        self.failed: errors.DiskFailedError | None = None

    @classmethod
    def open(cls, folder: Path, fleet: str, keeper: str, seed: int) -> "Store":
        """Reads and checks all of it; a folder without a file gets a new one, with a disk id of its own.

        The id rests on the system's randomness; `seed` only adds to it, since two disks must never share one.
        Raises DamagedBooksError, ForeignBooksError, NewerBooksError, FolderInUseError, DiskFullError and
        DiskFailedError."""
        to = str(folder / FILE)
        lock, db = -1, None
        try:
            folder.mkdir(parents=True, exist_ok=True)
            lock = locked(folder)
            if not (folder / FILE).exists():
                made(folder, fleet, keeper, seed)
            if (folder / FILE).stat().st_size == 0:
                raise UnfitError("it is empty")
            db = connected(folder / FILE)
            head, kept = read(db, to, fleet, keeper)
            return cls(folder, lock, db, head, kept)
        except BaseException as error:
            if db is not None:
                db.close()
            if lock >= 0:
                os.close(lock)
            if isinstance(error, UnfitError):
                raise errors.DamagedBooksError(to, fault=str(error)) from None
            if isinstance(error, (OSError, sqlite3.Error)):
                raise typed(error, to) from error
            raise

    def save(self, write: Write) -> None:
        """All of it on disk, or nothing.

        Raises DiskFullError: the file is as before, and the same `write` may be given again; DiskFailedError:
        for good; ValueError: no log could go on like this, and nothing was written."""
        if self.failed:
            raise self.failed
        try:
            self.db.execute("BEGIN IMMEDIATE")
            head = self._written(write)
            self.db.execute("COMMIT")
        except BaseException as error:
            # What fsync could not do once it may claim to have done the next time: no second try after that.
            found = typed(error, str(self.folder / FILE), True) if isinstance(error, sqlite3.Error) else None
            try:
                if self.db.in_transaction:
                    self.db.execute("ROLLBACK")
            except sqlite3.Error as second:
                found = errors.DiskFailedError(str(self.folder / FILE), fault=f"not taken back: {second}")
            if isinstance(found, errors.DiskFailedError):
                self.failed = found
            if found:
                raise found from error
            raise
        self.head = head

    def close(self) -> None:
        """May be called again."""
        self.db.close()
        if self.lock >= 0:
            os.close(self.lock)
        self.lock = -1

    def _written(self, write: Write) -> Head:
        head = self.head
        voted = write.term == head.term and head.vote not in ("", write.vote)
        if write.term < head.term or voted or (write.vote and not write.term):
            raise ValueError(f"term {write.term} and vote '{write.vote}' after {head.term} and '{head.vote}'")
        head = head._replace(term=write.term, vote=write.vote)
        if write.snapshot is not None:
            head = self._snapshot(head, write.snapshot, write.snapshot_whole)
        if write.cut:
            if not head.first < write.cut <= head.last + 1:
                raise ValueError(f"entries from {write.cut} cut, held after {head.first} up to {head.last}")
            self.db.execute("DELETE FROM log WHERE place >= ?", (write.cut,))
            head = head._replace(last=write.cut - 1, tip=self._sum_at(head, write.cut - 1))
        head = self._appended(head, write.entries)
        if write.marks is not None:
            rows = [(name, *write.marks[name]) for name in sorted(write.marks)]
            self.db.execute("DELETE FROM marks")
            self.db.executemany("INSERT INTO marks VALUES (?, ?, ?, ?)", rows)
            head = head._replace(marks=summed(*(column for row in rows for column in row)))
        self.db.execute("DELETE FROM head")
        self.db.execute(f"INSERT INTO head VALUES ({', '.join('?' * 12)})", (*head, summed(FORM, *head)))
        return head

    def _snapshot(self, head: Head, one: Snapshot, whole: bool) -> Head:
        if one.index < head.first or one.term > head.term:
            raise ValueError(f"snapshot at {one.index}, term {one.term}, after {head.first}, {head.term}")
        row = of_snapshot(one)
        goes_on = not whole and one.index < head.last
        if goes_on and self._term_at(one.index) != one.term:
            raise ValueError(f"snapshot at {one.index} has term {one.term}, the entry there another")
        base = self._sum_at(head, one.index) if goes_on else summed(*row)
        self.db.execute("DELETE FROM log WHERE place <= ?", (one.index if goes_on else head.last,))
        self.db.execute("DELETE FROM snapshot")
        self.db.execute("INSERT INTO snapshot VALUES (?, ?, ?, ?, ?)", row)
        head = head._replace(first=one.index, base=base, snapshot=summed(*row))
        return head if goes_on else head._replace(last=one.index, tip=base)

    def _appended(self, head: Head, entries: tuple[Entry, ...]) -> Head:
        index, term, tip, rows = head.last, self._term_at(head.last), head.tip, []
        for one in entries:
            if one.index != index + 1 or not term <= one.term <= head.term:
                raise ValueError(f"entry {one.index}, term {one.term}, after {index}, term {term}")
            index, term, tip = one.index, one.term, summed(tip, *one)
            rows.append((*one, tip))
        self.db.executemany("INSERT INTO log VALUES (?, ?, ?, ?, ?)", rows)
        return head._replace(last=index, tip=tip)

    def _term_at(self, place: int) -> int:
        found = self.db.execute(
            "SELECT term FROM log WHERE place = ? UNION ALL SELECT term FROM snapshot WHERE place = ?",
            (place, place),
        ).fetchone()
        return found[0] if found else 0

    def _sum_at(self, head: Head, place: int) -> bytes:
        found = self.db.execute("SELECT sum FROM log WHERE place = ?", (place,)).fetchone()
        return found[0] if found else head.base


def locked(folder: Path) -> int:
    """The kernel lets go of it when the process ends, however it ends."""
    lock = os.open(folder / LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        os.close(lock)
        raise errors.FolderInUseError(str(folder)) from None
    except OSError:
        os.close(lock)
        raise
    return lock


def connected(path: Path) -> sqlite3.Connection:
    """For whichever thread opens it and then the one that owns it: never two at once."""
    db = sqlite3.connect(
        f"{path.absolute().as_uri()}?mode=rw",
        uri=True,
        isolation_level=None,
        check_same_thread=False,
        timeout=0,
    )
    try:
        for setting in SETTINGS:
            db.execute(f"PRAGMA {setting}")
    except BaseException:
        db.close()
        raise
    return db


def made(folder: Path, fleet: str, keeper: str, seed: int) -> None:
    part = folder / PART
    # A journal that outlived its file would be played back into the new one.
    for left in (part, folder / f"{PART}-journal", folder / f"{FILE}-journal"):
        left.unlink(missing_ok=True)
    part.touch(0o600)
    nothing = summed()
    disk = hashlib.blake2b(os.urandom(32) + str(seed).encode(), digest_size=16).hexdigest()
    head = Head(disk, fleet, keeper, 0, "", 0, 0, nothing, nothing, nothing, nothing)
    with contextlib.closing(connected(part)) as db:
        db.execute("BEGIN IMMEDIATE")
        for name in sorted(TABLES):
            db.execute(TABLES[name])
        db.execute(f"INSERT INTO head VALUES ({', '.join('?' * 12)})", (*head, summed(FORM, *head)))
        db.execute(f"PRAGMA application_id = {OURS}")
        db.execute(f"PRAGMA user_version = {FORM}")
        db.execute("COMMIT")
    (folder / f"{PART}-journal").unlink(missing_ok=True)
    part.rename(folder / FILE)
    for one in (folder, folder.absolute().parent):
        place = os.open(one, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(place)
        finally:
            os.close(place)


def read(db: sqlite3.Connection, to: str, fleet: str, keeper: str) -> tuple[Head, Kept]:
    """Everything that the file holds, checked."""
    if db.execute("PRAGMA application_id").fetchone()[0] != OURS:
        raise UnfitError("it is not a keeper's")
    form = db.execute("PRAGMA user_version").fetchone()[0]
    if form > FORM:
        raise errors.NewerBooksError(to, form=form, most=FORM)
    if form != FORM:
        raise UnfitError(f"it has form {form}")
    db.execute("BEGIN IMMEDIATE")  # one that can't be written shows now, not at the first vote
    db.execute("ROLLBACK")
    if (found := db.execute("PRAGMA integrity_check(1)").fetchone()[0]) != "ok":
        raise UnfitError(" ".join(found.split()))
    tables = dict(db.execute("SELECT name, sql FROM sqlite_master").fetchall())
    heads = db.execute("SELECT * FROM head").fetchall() if tables == TABLES else []
    if len(heads) != 1:
        raise UnfitError("its tables are not a keeper's")
    head = Head(*heads[0][:-1])
    if summed(FORM, *head) != heads[0][-1]:
        raise UnfitError("the head's sum does not fit")
    if (head.fleet, head.keeper) != (fleet, keeper):
        raise errors.ForeignBooksError(to, fleet=head.fleet, keeper=head.keeper)
    return head, Kept(
        head.disk, head.term, head.vote, read_snapshot(db, head), read_log(db, head), read_marks(db, head)
    )


def read_snapshot(db: sqlite3.Connection, head: Head) -> Snapshot | None:
    rows = db.execute("SELECT * FROM snapshot").fetchall()
    if summed(*(column for row in rows for column in row)) != head.snapshot or len(rows) > 1:
        raise UnfitError("the snapshot's sum does not fit")
    if not rows:
        return None
    index, term, voters, learners, data = rows[0]
    if index != head.first or not 0 < term <= head.term:
        raise UnfitError(f"snapshot at {index}, term {term}, where {head.first}, {head.term} was kept")
    return Snapshot(index, term, Keepers(names(voters), names(learners)), data)


def read_log(db: sqlite3.Connection, head: Head) -> tuple[Entry, ...]:
    entries, tip, index = [], head.base, head.first
    found = db.execute("SELECT term FROM snapshot").fetchone()
    term = found[0] if found else 0
    for *columns, kept in db.execute("SELECT * FROM log ORDER BY place"):
        one = Entry(*columns)
        tip, index = summed(tip, *one), index + 1
        if one.index != index or tip != kept:
            raise UnfitError(f"entry {one.index} does not follow {index - 1}, or its sum does not fit")
        if not term <= one.term <= head.term:
            raise UnfitError(f"entry {index} has term {one.term}, after {term}, of {head.term}")
        term = one.term
        entries.append(one)
    if (index, tip) != (head.last, head.tip) or (head.term == 0 and head.vote):
        raise UnfitError(f"the log ends at {index}, kept were {head.last}")
    return tuple(entries)


def read_marks(db: sqlite3.Connection, head: Head) -> dict[str, Mark]:
    rows = db.execute("SELECT * FROM marks ORDER BY keeper").fetchall()
    if summed(*(column for row in rows for column in row)) != head.marks:
        raise UnfitError("the marks' sum does not fit")
    return {keeper: Mark(disk, term, index) for keeper, disk, term, index in rows}


def typed(error: OSError | sqlite3.Error, to: str, writing: bool = False) -> errors.FleetError:
    """Whatever SQLite or the system says is full, failing, or (where it was read) damaged."""
    code = getattr(error, "sqlite_errorcode", 0) & 0xFF  # 0: a text that is no UTF-8
    if code == sqlite3.SQLITE_FULL or getattr(error, "errno", 0) in FULL:
        return errors.DiskFullError(to)
    if isinstance(error, sqlite3.Error) and code in DAMAGED and not writing:
        return errors.DamagedBooksError(to, fault=str(error))
    return errors.DiskFailedError(to, fault=str(error))
