"""Which calls of clients a service takes, and how long it holds back its answer to a fault. Pure.

A client is a connection: names within its calls cost nothing to change. It may have as many calls open as are
left free for all others, so that however many clients take all they can, a new one finds room.
"""

from collections import Counter, OrderedDict

MAX_KNOWN_FAULTY = 1024  # clients whose faults are remembered


class CallAdmission:
    """The calls that are open at one service."""

    def __init__(self, max_calls: int, fault_delay: int) -> None:
        """`fault_delay`, in microseconds: before the answer to a fault that follows another one."""
        self.max_calls, self.fault_delay = max_calls, fault_delay
        self.open_calls = 0
        self.by_client: Counter[str] = Counter()
        self.faults_in_a_row: OrderedDict[str, int] = OrderedDict()  # by client, the latest last

    def begin(self, client: str) -> bool:
        """Takes a call; returns False if its client has as many open as are free."""
        if self.by_client[client] >= self.max_calls - self.open_calls:
            if not self.by_client[client]:
                del self.by_client[client]
            return False
        self.by_client[client] += 1
        self.open_calls += 1
        return True

    def end(self, client: str) -> None:
        """Notes the end of a call that was taken."""
        self.open_calls -= 1
        self.by_client[client] -= 1
        if not self.by_client[client]:
            del self.by_client[client]

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
