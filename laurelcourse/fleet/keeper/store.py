"""Term, vote, log and snapshot of one keeper on disk: one SQLite file, durable before `save` returns.

All content is bound together by checksums: each entry's covers the one before it, and the head's covers the
first and the last of them, the snapshot's and the marks'. So a mix of what was written at two times is never
taken for either, wherever bits were lost. Only a complete older file is accepted: the marks at other keepers
detect that. The file is created under another name and renamed, so that an empty or a partial one is always
damage.
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
from laurelcourse.fleet.keeper.messages import Entry, Keepers, Kept, Mark, Snapshot, Write

FORMAT_VERSION = 1
APPLICATION_ID = 0x4C434B31  # so that no other program's SQLite file is taken for a keeper's
FILE_NAME = "books.sqlite"
PARTIAL_FILE_NAME = "books.part"
LOCK_NAME = "books.lock"
HEAD_COLUMNS = 12
TABLES = {
    "head": "CREATE TABLE head (disk TEXT, fleet TEXT, keeper TEXT, term INTEGER, vote TEXT, first INTEGER,"
    " last INTEGER, base BLOB, tip BLOB, snapshot BLOB, marks BLOB, sum BLOB)",
    "log": "CREATE TABLE log (place INTEGER PRIMARY KEY, term INTEGER, kind TEXT, data BLOB, sum BLOB)",
    "marks": "CREATE TABLE marks (keeper TEXT, disk TEXT, term INTEGER, place INTEGER)",
    "snapshot": "CREATE TABLE snapshot (place INTEGER, term INTEGER, voters TEXT, learners TEXT, data BLOB)",
}
# A rollback journal, not a WAL: bits lost at a WAL's end would silently take back votes that were sent. The
# journal is kept, since truncating or deleting it waits for the whole file system: 7 to 24 commits/s on a
# busy disk, with PERSIST 170 to 540. A keeper makes a few dozen at most.
PRAGMAS = (
    "journal_mode = PERSIST",
    "synchronous = EXTRA",
    "locking_mode = EXCLUSIVE",
    "cell_size_check = ON",
    "trusted_schema = OFF",
)
DISK_FULL_ERRNOS = frozenset((errno.ENOSPC, errno.EDQUOT))
NO_SQLITE_CODE = 0  # of an error about text that is not UTF-8
DAMAGE_CODES = frozenset(
    (
        NO_SQLITE_CODE,
        sqlite3.SQLITE_ERROR,
        sqlite3.SQLITE_CORRUPT,
        sqlite3.SQLITE_NOTADB,
        sqlite3.SQLITE_FORMAT,
        sqlite3.SQLITE_SCHEMA,
        sqlite3.SQLITE_TOOBIG,
    )
)


class Head(NamedTuple):
    """The row that binds the file together.

    Entries up to `first` are in the snapshot; `first_sum` and `last_sum` are the checksums at `first` and
    `last`.
    """

    disk: str
    fleet: str
    keeper: str
    term: int
    vote: str
    first: int
    last: int
    first_sum: bytes
    last_sum: bytes
    snapshot: bytes
    marks: bytes


class InvalidFileError(Exception):
    """What is wrong with a file."""


def checksum(*columns: int | str | bytes) -> bytes:
    """Returns BLAKE2b (RFC 7693) over all columns, each with its type and length, so that none can run into
    the next.
    """
    digest = hashlib.blake2b(digest_size=16)
    for column in columns:
        if not isinstance(column, (int, str, bytes)):
            raise InvalidFileError(f"a column holds {type(column).__name__}")
        raw = column if isinstance(column, bytes) else str(column).encode()
        digest.update(b"%s%d:" % (type(column).__name__.encode(), len(raw)))
        digest.update(raw)
    return digest.digest()


def snapshot_row(snapshot: Snapshot | None) -> tuple:
    """Returns the columns of a snapshot; none without one."""
    if snapshot is None:
        return ()
    keepers = snapshot.keepers
    voters, learners = ",".join(keepers.voters), ",".join(keepers.learners)
    return snapshot.index, snapshot.term, voters, learners, snapshot.data


def split_names(joined: str) -> tuple[str, ...]:
    """Returns the names of a column."""
    return tuple(joined.split(",")) if joined else ()


class Store:
    """An open file. One process at a time holds a folder; `kept` is what the file held when it was opened."""

    def __init__(self, folder: Path, lock: int, db: sqlite3.Connection, head: Head, kept: Kept) -> None:
        self.folder, self.lock, self.db, self.head, self.kept = folder, lock, db, head, kept
        self.failed: errors.DiskFailedError | None = None

    @classmethod
    def open(cls, folder: Path, fleet: str, keeper: str, seed: int) -> "Store":
        """Reads and checks the whole file; a folder without one gets a new one, with a disk id of its own.

        The id rests on the system's randomness; `seed` only adds to it, since two disks must never share one.
        Raises DamagedBooksError, ForeignBooksError, NewerBooksError, FolderInUseError, DiskFullError and
        DiskFailedError.
        """
        to = str(folder / FILE_NAME)
        lock, db = -1, None
        try:
            folder.mkdir(parents=True, exist_ok=True)
            lock = lock_folder(folder)
            if not (folder / FILE_NAME).exists():
                create_file(folder, fleet, keeper, seed)
            if (folder / FILE_NAME).stat().st_size == 0:
                raise InvalidFileError("it is empty")
            db = connect(folder / FILE_NAME)
            head, kept = read_file(db, to, fleet, keeper)
            return cls(folder, lock, db, head, kept)
        except BaseException as error:
            if db is not None:
                db.close()
            if lock >= 0:
                os.close(lock)
            if isinstance(error, InvalidFileError):
                raise errors.DamagedBooksError(to, fault=str(error)) from None
            if isinstance(error, (OSError, sqlite3.Error)):
                raise typed_error(error, to) from error
            raise

    def save(self, write: Write) -> None:
        """Writes all of it, or nothing.

        Raises DiskFullError: the file is as before, and the same `write` may be repeated; DiskFailedError:
        permanently; ValueError: no log could continue like this, and nothing was written.
        """
        if self.failed:
            raise self.failed
        try:
            self.db.execute("BEGIN IMMEDIATE")
            head = self._apply(write)
            self.db.execute("COMMIT")
        except BaseException as error:
            # After a failed fsync the next one may report success without having written: there is no retry.
            path = str(self.folder / FILE_NAME)
            typed = typed_error(error, path, True) if isinstance(error, sqlite3.Error) else None
            try:
                if self.db.in_transaction:
                    self.db.execute("ROLLBACK")
            except sqlite3.Error as second:
                typed = errors.DiskFailedError(path, fault=f"not taken back: {second}")
            if isinstance(typed, errors.DiskFailedError):
                self.failed = typed
            if typed:
                raise typed from error
            raise
        self.head = head

    def close(self) -> None:
        """Closes the file and frees the folder. It may be called again."""
        self.db.close()
        if self.lock >= 0:
            os.close(self.lock)
        self.lock = -1

    def _apply(self, write: Write) -> Head:
        head = self.head
        voted = write.term == head.term and head.vote not in ("", write.vote)
        if write.term < head.term or voted or (write.vote and not write.term):
            raise ValueError(f"term {write.term} and vote '{write.vote}' after {head.term} and '{head.vote}'")
        head = head._replace(term=write.term, vote=write.vote)
        if write.snapshot is not None:
            head = self._write_snapshot(head, write.snapshot, write.snapshot_whole)
        if write.cut:
            if not head.first < write.cut <= head.last + 1:
                raise ValueError(f"entries from {write.cut} cut, held after {head.first} up to {head.last}")
            self.db.execute("DELETE FROM log WHERE place >= ?", (write.cut,))
            head = head._replace(last=write.cut - 1, last_sum=self._sum_at(head, write.cut - 1))
        head = self._append(head, write.entries)
        if write.marks is not None:
            rows = [(name, *write.marks[name]) for name in sorted(write.marks)]
            self.db.execute("DELETE FROM marks")
            self.db.executemany("INSERT INTO marks VALUES (?, ?, ?, ?)", rows)
            head = head._replace(marks=checksum(*(column for row in rows for column in row)))
        self.db.execute("DELETE FROM head")
        self.db.execute(
            f"INSERT INTO head VALUES ({', '.join('?' * HEAD_COLUMNS)})",
            (*head, checksum(FORMAT_VERSION, *head)),
        )
        return head

    def _write_snapshot(self, head: Head, snapshot: Snapshot, replaces_all: bool) -> Head:
        if snapshot.index < head.first or snapshot.term > head.term:
            raise ValueError(
                f"snapshot at {snapshot.index}, term {snapshot.term}, after {head.first}, {head.term}"
            )
        row = snapshot_row(snapshot)
        log_continues = not replaces_all and snapshot.index < head.last
        if log_continues and self._term_at(snapshot.index) != snapshot.term:
            raise ValueError(
                f"snapshot at {snapshot.index} has term {snapshot.term}, the entry there another"
            )
        first_sum = self._sum_at(head, snapshot.index) if log_continues else checksum(*row)
        last_removed = snapshot.index if log_continues else head.last
        self.db.execute("DELETE FROM log WHERE place <= ?", (last_removed,))
        self.db.execute("DELETE FROM snapshot")
        self.db.execute("INSERT INTO snapshot VALUES (?, ?, ?, ?, ?)", row)
        head = head._replace(first=snapshot.index, first_sum=first_sum, snapshot=checksum(*row))
        return head if log_continues else head._replace(last=snapshot.index, last_sum=first_sum)

    def _append(self, head: Head, entries: tuple[Entry, ...]) -> Head:
        index, term, last_sum, rows = head.last, self._term_at(head.last), head.last_sum, []
        for entry in entries:
            if entry.index != index + 1 or not term <= entry.term <= head.term:
                raise ValueError(f"entry {entry.index}, term {entry.term}, after {index}, term {term}")
            index, term, last_sum = entry.index, entry.term, checksum(last_sum, *entry)
            rows.append((*entry, last_sum))
        self.db.executemany("INSERT INTO log VALUES (?, ?, ?, ?, ?)", rows)
        return head._replace(last=index, last_sum=last_sum)

    def _term_at(self, index: int) -> int:
        row = self.db.execute(
            "SELECT term FROM log WHERE place = ? UNION ALL SELECT term FROM snapshot WHERE place = ?",
            (index, index),
        ).fetchone()
        return row[0] if row else 0

    def _sum_at(self, head: Head, index: int) -> bytes:
        row = self.db.execute("SELECT sum FROM log WHERE place = ?", (index,)).fetchone()
        return row[0] if row else head.first_sum


def lock_folder(folder: Path) -> int:
    """Returns a lock's descriptor; the kernel releases the lock when the process ends, however it ends.

    Raises FolderInUseError or OSError.
    """
    lock = os.open(folder / LOCK_NAME, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        os.close(lock)
        raise errors.FolderInUseError(str(folder)) from None
    except OSError:
        os.close(lock)
        raise
    return lock


def connect(path: Path) -> sqlite3.Connection:
    """Opens a file. The thread that opens it may hand it to the one that owns it: never two at once."""
    db = sqlite3.connect(
        f"{path.absolute().as_uri()}?mode=rw",
        uri=True,
        isolation_level=None,
        check_same_thread=False,
        timeout=0,
    )
    try:
        for pragma in PRAGMAS:
            db.execute(f"PRAGMA {pragma}")
    except BaseException:
        db.close()
        raise
    return db


def create_file(folder: Path, fleet: str, keeper: str, seed: int) -> None:
    """Creates a file without entries and makes it durable under its name."""
    partial = folder / PARTIAL_FILE_NAME
    partial_journal = folder / f"{PARTIAL_FILE_NAME}-journal"
    # A journal that outlived its file would be applied to the new one.
    for leftover in (partial, partial_journal, folder / f"{FILE_NAME}-journal"):
        leftover.unlink(missing_ok=True)
    partial.touch(0o600)
    nothing = checksum()
    disk = hashlib.blake2b(os.urandom(32) + str(seed).encode(), digest_size=16).hexdigest()
    head = Head(disk, fleet, keeper, 0, "", 0, 0, nothing, nothing, nothing, nothing)
    with contextlib.closing(connect(partial)) as db:
        db.execute("BEGIN IMMEDIATE")
        for name in sorted(TABLES):
            db.execute(TABLES[name])
        db.execute(
            f"INSERT INTO head VALUES ({', '.join('?' * HEAD_COLUMNS)})",
            (*head, checksum(FORMAT_VERSION, *head)),
        )
        db.execute(f"PRAGMA application_id = {APPLICATION_ID}")
        db.execute(f"PRAGMA user_version = {FORMAT_VERSION}")
        db.execute("COMMIT")
    partial_journal.unlink(missing_ok=True)
    partial.rename(folder / FILE_NAME)
    for directory in (folder, folder.absolute().parent):
        descriptor = os.open(directory, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


def read_file(db: sqlite3.Connection, to: str, fleet: str, keeper: str) -> tuple[Head, Kept]:
    """Reads and checks everything that the file holds. Raises InvalidFileError or FleetError."""
    if db.execute("PRAGMA application_id").fetchone()[0] != APPLICATION_ID:
        raise InvalidFileError("it is not a keeper's")
    version = db.execute("PRAGMA user_version").fetchone()[0]
    if version > FORMAT_VERSION:
        raise errors.NewerBooksError(to, form=version, most=FORMAT_VERSION)
    if version != FORMAT_VERSION:
        raise InvalidFileError(f"it has form {version}")
    db.execute("BEGIN IMMEDIATE")  # a file that cannot be written is noticed now, not at the first vote
    db.execute("ROLLBACK")
    if (report := db.execute("PRAGMA integrity_check(1)").fetchone()[0]) != "ok":
        raise InvalidFileError(" ".join(report.split()))
    tables = dict(db.execute("SELECT name, sql FROM sqlite_master").fetchall())
    heads = db.execute("SELECT * FROM head").fetchall() if tables == TABLES else []
    if len(heads) != 1:
        raise InvalidFileError("its tables are not a keeper's")
    head = Head(*heads[0][:-1])
    if checksum(FORMAT_VERSION, *head) != heads[0][-1]:
        raise InvalidFileError("the head's sum does not fit")
    if (head.fleet, head.keeper) != (fleet, keeper):
        raise errors.ForeignBooksError(to, fleet=head.fleet, keeper=head.keeper)
    return head, Kept(
        head.disk, head.term, head.vote, read_snapshot(db, head), read_log(db, head), read_marks(db, head)
    )


def read_snapshot(db: sqlite3.Connection, head: Head) -> Snapshot | None:
    """Reads and checks the snapshot, if there is one. Raises InvalidFileError."""
    rows = db.execute("SELECT * FROM snapshot").fetchall()
    if checksum(*(column for row in rows for column in row)) != head.snapshot or len(rows) > 1:
        raise InvalidFileError("the snapshot's sum does not fit")
    if not rows:
        return None
    index, term, voters, learners, data = rows[0]
    if index != head.first or not 0 < term <= head.term:
        raise InvalidFileError(f"snapshot at {index}, term {term}, where {head.first}, {head.term} was kept")
    return Snapshot(index, term, Keepers(split_names(voters), split_names(learners)), data)


def read_log(db: sqlite3.Connection, head: Head) -> tuple[Entry, ...]:
    """Reads and checks the entries behind the snapshot. Raises InvalidFileError."""
    entries, last_sum, index = [], head.first_sum, head.first
    snapshot_term = db.execute("SELECT term FROM snapshot").fetchone()
    term = snapshot_term[0] if snapshot_term else 0
    for *columns, stored_sum in db.execute("SELECT * FROM log ORDER BY place"):
        entry = Entry(*columns)
        last_sum, index = checksum(last_sum, *entry), index + 1
        if entry.index != index or last_sum != stored_sum:
            raise InvalidFileError(
                f"entry {entry.index} does not follow {index - 1}, or its sum does not fit"
            )
        if not term <= entry.term <= head.term:
            raise InvalidFileError(f"entry {index} has term {entry.term}, after {term}, of {head.term}")
        term = entry.term
        entries.append(entry)
    if (index, last_sum) != (head.last, head.last_sum) or (head.term == 0 and head.vote):
        raise InvalidFileError(f"the log ends at {index}, kept were {head.last}")
    return tuple(entries)


def read_marks(db: sqlite3.Connection, head: Head) -> dict[str, Mark]:
    """Reads and checks the marks of the other keepers. Raises InvalidFileError."""
    rows = db.execute("SELECT * FROM marks ORDER BY keeper").fetchall()
    if checksum(*(column for row in rows for column in row)) != head.marks:
        raise InvalidFileError("the marks' sum does not fit")
    return {keeper: Mark(disk, term, index) for keeper, disk, term, index in rows}


def typed_error(error: OSError | sqlite3.Error, to: str, writing: bool = False) -> errors.FleetError:
    """Returns whether an error means a full disk, a failing one, or, where the file was read, damage."""
    code = getattr(error, "sqlite_errorcode", NO_SQLITE_CODE) & 0xFF
    if code == sqlite3.SQLITE_FULL or getattr(error, "errno", 0) in DISK_FULL_ERRNOS:
        return errors.DiskFullError(to)
    if isinstance(error, sqlite3.Error) and code in DAMAGE_CODES and not writing:
        return errors.DamagedBooksError(to, fault=str(error))
    return errors.DiskFailedError(to, fault=str(error))
