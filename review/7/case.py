"""Clients ask once, with a value of 64 KiB, and then keep their connections for good."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import common_2 as c

from laurelcourse.standins.deployer import DeployerStandIn

MEMORY_MB = 64
SOCKETS = 1024
CLIENTS = 300  # a third of the descriptors is 341
PAUSE = 0.02  # seconds between two clients
VALUE_BYTES = 64 << 10


def memory_kib(relay: c.Relay) -> dict[str, int]:
    """Returns the relay's memory: all that is resident, and the part of it that no file holds."""
    lines = Path(f"/proc/{relay.process.pid}/status").read_text().splitlines()
    return {
        name: int(line.split()[1])
        for name in ("VmRSS", "RssAnon")
        for line in lines
        if line.startswith(f"{name}:")
    }


def main() -> None:
    """Runs the case."""
    record, folder = c.begin(__file__)
    loop = c.Loop()

    async def work(unit: c.Unit, sql: str) -> bytes:
        record.add(f"unit {unit.name} runs id={c.fields_of(sql)['id']} bytes={len(sql)}")
        await asyncio.sleep(0.15)
        return c.row(b"\x9f" * VALUE_BYTES)

    directory = c.Directory(loop, record)
    for number in range(12):
        directory.put(f"s-{number}", c.Unit(loop, f"s-{number}", work).address)
    port = c.reserve_port()
    config = c.config_of(
        "n0",
        port,
        directory.address,
        DeployerStandIn().address,
        directory.whole(),
        c.settings(),
        memory_mb=MEMORY_MB,
        sockets=SOCKETS,
    )
    relay = c.Relay(folder / "n0", config)
    relay.start()
    record.add(f"memory at the start: {memory_kib(relay)}")
    value = "9f" * VALUE_BYTES
    kept, counts, breaks = [], {}, []
    for number in range(CLIENTS):
        client = c.Client(port)
        name, _ = c.select("mark", 2500)
        sql = (
            f"INSERT INTO rows (handle, blob) VALUES ('{name}', '\\x{value}') RETURNING blob "
            f"/* id={name},c=mark,d=2500,k={name} */"
        )
        letters, code = client.ask(sql)
        counts[letters] = counts.get(letters, 0) + 1
        memory = memory_kib(relay)
        record.add(f"client {number} id={name} answer={letters} code={code or '-'} memory={memory}")
        if c.TROUBLE:
            kept.append(client)
        else:
            client.close()
        if memory["RssAnon"] > MEMORY_MB << 10:
            breaks.append(
                f"memory: {memory['RssAnon']} KiB of {MEMORY_MB << 10} with {len(kept)} resting connections"
            )
        time.sleep(PAUSE)
    time.sleep(3)
    memory = memory_kib(relay)
    record.add(f"memory at the end, 3 s after the last answer: {memory}")
    if memory["RssAnon"] > MEMORY_MB << 10:
        breaks.append(f"memory: {memory['RssAnon']} KiB of {MEMORY_MB << 10} at rest")
    for line in relay.log.read_text().splitlines():
        record.add(f"log {line}")
    if counts.get("TDCZ", 0) < CLIENTS * 9 // 10:
        c.not_run(f"too few answers: {counts}")
    c.end(record, breaks)


c.run(main)
