"""Which calls of clients a service takes, and how long it holds back its answer to a fault. Pure.

A client is a connection: names within its calls cost nothing to change.
"""

from collections import OrderedDict

from laurelcourse.net.fair_share import FairShare

MAX_KNOWN_FAULTY = 1024  # clients whose faults are remembered


class CallAdmission:
    """The calls that are open at one service."""

    def __init__(self, max_calls: int, fault_delay: int) -> None:
        """`fault_delay`, in microseconds: before the answer to a fault that follows another one."""
        self.open_calls = FairShare(max_calls)
        self.fault_delay = fault_delay
        self.faults_in_a_row: OrderedDict[str, int] = OrderedDict()  # by client, the latest last

    def begin(self, client: str) -> bool:
        """Takes a call; returns False if its client has as many open as are free."""
        return self.open_calls.take(client)

    def end(self, client: str) -> None:
        """Notes the end of a call that was taken."""
        self.open_calls.give_back(client)

    def note_served(self, client: str) -> None:
        """Notes that a call could be served."""
        self.faults_in_a_row.pop(client, None)

    def note_fault(self, client: str) -> int:
        """Notes a call that could not be served; returns how long its answer is held back."""
        faults = self.faults_in_a_row.pop(client, 0) + 1
        self.faults_in_a_row[client] = faults
        if len(self.faults_in_a_row) > MAX_KNOWN_FAULTY:
            self.faults_in_a_row.popitem(last=False)
        return self.fault_delay if faults > 1 else 0
