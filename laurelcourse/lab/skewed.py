"""Runs a module with a wrong clock or a full disk.

Usage: python -m laurelcourse.lab.skewed FOLDER MODULE ARGUMENTS...

FOLDER may hold two files. `clock`, read once at the start, has two integers: microseconds that Unix time is
off, and parts per million that both clocks run fast. While `full` is there, sqlite3 refuses to write, as on a
full disk.
"""

import runpy
import sqlite3
import sys
import time
from pathlib import Path

WRITE_STATEMENTS = ("insert", "update", "delete", "replace")
MILLION = 1_000_000
NANOSECONDS = 1e9  # in a second


def skew_clocks(offset_us: int, fast_ppm: int) -> None:
    """Replaces the clocks of `time`: Unix time is off by `offset_us`, and all run fast by `fast_ppm`."""
    real_unix = time.time_ns
    real_monotonic = time.monotonic_ns
    real_clock = time.clock_gettime_ns
    unix_start = real_unix()
    monotonic_start = real_monotonic()
    clock_starts = {clock: real_clock(clock) for clock in (time.CLOCK_BOOTTIME, time.CLOCK_MONOTONIC)}

    def time_ns() -> int:
        return unix_start + offset_us * 1000 + (real_unix() - unix_start) * (MILLION + fast_ppm) // MILLION

    def monotonic_ns() -> int:
        return monotonic_start + (real_monotonic() - monotonic_start) * (MILLION + fast_ppm) // MILLION

    def clock_gettime_ns(clock: int) -> int:
        if clock not in clock_starts:
            return real_clock(clock)
        start = clock_starts[clock]
        return start + (real_clock(clock) - start) * (MILLION + fast_ppm) // MILLION

    time.time_ns = time_ns
    time.monotonic_ns = monotonic_ns
    time.clock_gettime_ns = clock_gettime_ns
    time.time = lambda: time_ns() / NANOSECONDS
    time.monotonic = lambda: monotonic_ns() / NANOSECONDS


def refuse_writes_while(disk_full: Path) -> None:
    """Has SQLite connections fail each write, as on a full disk, while the file exists."""

    class Connection(sqlite3.Connection):
        def execute(self, sql: str, *args: object) -> sqlite3.Cursor:
            refuse(sql)
            return super().execute(sql, *args)

        def executemany(self, sql: str, *args: object) -> sqlite3.Cursor:
            refuse(sql)
            return super().executemany(sql, *args)

    def refuse(sql: str) -> None:
        if sql.lstrip().lower().startswith(WRITE_STATEMENTS) and disk_full.exists():
            error = sqlite3.OperationalError("database or disk is full")
            error.sqlite_errorcode = sqlite3.SQLITE_FULL
            error.sqlite_errorname = "SQLITE_FULL"
            raise error

    connect = sqlite3.connect
    sqlite3.connect = lambda *args, **options: connect(*args, **{"factory": Connection} | options)


def main() -> None:
    """Skews the clocks, watches for the full disk, and runs the module."""
    folder = Path(sys.argv[1])
    module = sys.argv[2]
    if (folder / "clock").exists():
        offset_us, fast_ppm = map(int, (folder / "clock").read_text().split())
        skew_clocks(offset_us, fast_ppm)
    refuse_writes_while(folder / "full")
    del sys.argv[1:3]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
