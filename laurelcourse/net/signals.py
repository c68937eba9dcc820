"""Signals from the first line of the program on: noted until the relay handles them, so that none kills a
start.

Little is imported here, since the default actions, which end the process, stand until `hold` has run.
"""

import os
import signal

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
OTHER_SIGNALS = (signal.SIGHUP, signal.SIGUSR1)

noted: list[int] = []


def hold() -> None:
    """Notes signals while the relay starts; a stop signal ends it at once, as it has taken no req yet.

    It does so without an exception, which a callback of the import system could swallow.
    """
    for number in STOP_SIGNALS:
        signal.signal(number, lambda *_: os._exit(0))
    for number in OTHER_SIGNALS:
        signal.signal(number, lambda received, _: noted.append(received))


def hand_over(wakeup_fd: int) -> bytes:
    """From now on each signal writes a byte to this descriptor; returns those noted before, each once.

    A signal that arrives meanwhile may be delivered twice, which has the same effect as once.
    """
    signal.set_wakeup_fd(wakeup_fd, warn_on_full_buffer=False)
    for number in (*STOP_SIGNALS, *OTHER_SIGNALS):
        signal.signal(number, lambda *_: None)
    return bytes(dict.fromkeys(noted))


def ignore_all() -> None:
    """Ignores all signals, as the interpreter would restore the default actions while it exits."""
    for number in (*STOP_SIGNALS, *OTHER_SIGNALS):
        signal.signal(number, signal.SIG_IGN)
    signal.set_wakeup_fd(-1)
