"""Checks that several parts of the settings share."""

from collections.abc import Iterable, Iterator

from laurelcourse.operator.settings import Address, Fault

MAX_BYTE = 255
MAX_PORT = 65535


def find_duplicates(kind: str, values: Iterable[tuple[int, object]]) -> Iterator[Fault]:
    """Yields a fault for each value that is given twice. `values`: line and value."""
    first_lines: dict[object, int] = {}
    for line, value in values:
        shown = "{}:{}".format(*value) if isinstance(value, tuple) else value
        if value in first_lines:
            yield Fault(
                line,
                f"{kind} {shown} stands twice, first on line {first_lines[value]}: give each its own",
            )
        first_lines.setdefault(value, line)


def find_invalid_addresses(addresses: Iterable[tuple[int, Address]]) -> Iterator[Fault]:
    """Yields a fault for each address out of range. `addresses`: line and address."""
    for line, (host, port) in addresses:
        if any(int(part) > MAX_BYTE for part in host.split(".")) or not 0 < port <= MAX_PORT:
            yield Fault(line, f"{host}:{port} is no address: parts go up to 255, ports from 1 to 65535")
