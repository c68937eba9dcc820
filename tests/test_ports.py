"""Ports that are reserved for processes which bind them later."""

import socket
import subprocess
import sys
from pathlib import Path

import pytest
from conftest import ROOT

from laurelcourse.standins import ports
from laurelcourse.standins.base import RELAY_HOST

PROCESSES = 4
PORTS_PER_PROCESS = 3 * ports.BLOCK_SIZE
RESERVE_AND_HOLD = f"""
from laurelcourse.standins.ports import reserve_port
print(*(reserve_port() for _ in range({PORTS_PER_PROCESS})), flush=True)
input()
"""


def test_processes_that_run_at_once_get_different_ports_that_the_kernel_never_picks() -> None:
    """Otherwise another test, or an outgoing connection, takes a port before its process has bound it."""
    holders = [
        subprocess.Popen(
            [sys.executable, "-c", RESERVE_AND_HOLD],
            cwd=ROOT,
            text=True,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        for _ in range(PROCESSES)
    ]
    try:
        handed_out = [int(port) for process in holders for port in process.stdout.readline().split()]
    finally:
        for process in holders:
            process.communicate("\n", timeout=10)
    first_picked_by_kernel = int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    assert len(handed_out) == PROCESSES * PORTS_PER_PROCESS
    assert len(set(handed_out)) == len(handed_out)
    assert max(handed_out) < first_picked_by_kernel


def test_a_port_in_use_is_passed_over() -> None:
    reserver = ports.PortReserver()
    first = reserver.reserve(socket.SOCK_STREAM, RELAY_HOST)
    with socket.create_server((RELAY_HOST, first + 1)):
        assert reserver.reserve(socket.SOCK_STREAM, RELAY_HOST) == first + 2


def test_no_block_left_is_an_error(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ports, "END_PORT", ports.FIRST_PORT)
    with pytest.raises(ports.NoFreePortError):
        ports.PortReserver().reserve(socket.SOCK_STREAM, RELAY_HOST)
