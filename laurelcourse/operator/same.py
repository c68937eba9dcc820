"""Faults that any part of the settings may have."""

from collections.abc import Iterable, Iterator

from laurelcourse.operator.form import Address, Fault


def twice(what: str, named: Iterable[tuple[int, object]]) -> Iterator[Fault]:
    seen: dict[object, int] = {}
    for line, value in named:
        shown = "{}:{}".format(*value) if isinstance(value, tuple) else value
        if value in seen:
            yield Fault(line, f"{what} {shown} stands twice, first on line {seen[value]}: give each its own")
        seen.setdefault(value, line)


def off_range(told: Iterable[tuple[int, Address]]) -> Iterator[Fault]:
    for line, (host, port) in told:
        if any(int(part) > 255 for part in host.split(".")) or not 0 < port < 65536:
            yield Fault(line, f"{host}:{port} is no address: parts go up to 255, ports from 1 to 65535")
