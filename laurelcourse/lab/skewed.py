"""A relay with a wrong clock or a full disk: FOLDER MODULE, then the module's arguments.

FOLDER may hold `clock`, read once at the start: microseconds that Unix time is off, and parts of a million
that both clocks run fast; and `full`: while it is there, sqlite3 refuses to write, as on a full disk."""

import runpy
import sqlite3
import sys
import time
from pathlib import Path

WRITES = ("insert", "update", "delete", "replace")


def skew(offset: int, fast: int) -> None:
    """All clocks of `time` from now on: Unix time is off by so many microseconds, and all run fast."""
    unix, steady, of = time.time_ns, time.monotonic_ns, time.clock_gettime_ns
    began, begun = unix(), steady()
    started = {clock: of(clock) for clock in (time.CLOCK_BOOTTIME, time.CLOCK_MONOTONIC)}

    def time_ns() -> int:
        return began + offset * 1000 + (unix() - began) * (1_000_000 + fast) // 1_000_000

    def monotonic_ns() -> int:
        return begun + (steady() - begun) * (1_000_000 + fast) // 1_000_000

    def clock_gettime_ns(clock: int) -> int:
        if clock not in started:
            return of(clock)
        return started[clock] + (of(clock) - started[clock]) * (1_000_000 + fast) // 1_000_000

    time.time_ns, time.monotonic_ns, time.clock_gettime_ns = time_ns, monotonic_ns, clock_gettime_ns
    time.time, time.monotonic = lambda: time_ns() / 1e9, lambda: monotonic_ns() / 1e9


def fill(full: Path) -> None:
    """While the file is there, connections made by `sqlite3.connect` fail each write as SQLite does then."""

    class Connection(sqlite3.Connection):
        def execute(self, sql: str, *args: object) -> sqlite3.Cursor:
            refuse(sql)
            return super().execute(sql, *args)

        def executemany(self, sql: str, *args: object) -> sqlite3.Cursor:
            refuse(sql)
            return super().executemany(sql, *args)

    def refuse(sql: str) -> None:
        if sql.lstrip().lower().startswith(WRITES) and full.exists():
            error = sqlite3.OperationalError("database or disk is full")
            error.sqlite_errorcode, error.sqlite_errorname = sqlite3.SQLITE_FULL, "SQLITE_FULL"
            raise error

    plain = sqlite3.connect
    sqlite3.connect = lambda *args, **named: plain(*args, **{"factory": Connection} | named)


def main() -> None:
    folder, module = Path(sys.argv[1]), sys.argv[2]
    if (folder / "clock").exists():
        skew(*map(int, (folder / "clock").read_text().split()))
    fill(folder / "full")
    del sys.argv[1:3]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
