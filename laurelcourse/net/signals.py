"""Signals from the program's first line on: noted until the relay hears them, so that none ends its start.

Little is imported here, as the default actions, which end a process, stand until this has run."""

import os
import signal

STOPS = (signal.SIGTERM, signal.SIGINT)
NOTED = (signal.SIGHUP, signal.SIGUSR1)

noted: list[int] = []


def hold() -> None:
    """Notes what is told to a relay that starts. A stop ends it at once: it has taken nothing, and an
    exception raised here instead could be swallowed by a callback of the import system."""
    for number in STOPS:
        signal.signal(number, lambda *_: os._exit(0))
    for number in NOTED:
        signal.signal(number, lambda one, _: noted.append(one))


def hand_over(waker: int) -> bytes:
    """From now on each signal is a byte at this descriptor; those noted before are returned, each once. One
    that comes between these lines may be told twice, which asks for no more than once."""
    signal.set_wakeup_fd(waker, warn_on_full_buffer=False)
    for number in (*STOPS, *NOTED):
        signal.signal(number, lambda *_: None)
    return bytes(dict.fromkeys(noted))


def end() -> None:
    """Nothing more is heard: the interpreter, as it goes, would put the default actions back."""
    for number in (*STOPS, *NOTED):
        signal.signal(number, signal.SIG_IGN)
    signal.set_wakeup_fd(-1)
