"""How many bytes a front's clients may hold beside their connections' usual buffers. Pure.

Two shares, so that neither kind can take the other's: messages that are not whole yet, and whole messages
whose reqs are under way. Whoever is over the first waits in the kernel; what is over the second is refused at
once, as nothing of it has been sent on.
"""

from collections.abc import Hashable


class ClientMemory:
    """Counts the bytes of one front's clients."""

    def __init__(self, max_unfinished: int, max_under_way: int) -> None:
        """Both limits are in bytes."""
        self.max_unfinished, self.max_under_way = max_unfinished, max_under_way
        self.unfinished: dict[Hashable, int] = {}  # by client
        self.unfinished_total = self.under_way = 0

    def set_unfinished(self, client: Hashable, count: int) -> None:
        """Notes how many bytes a client's unfinished message takes."""
        self.unfinished_total += count - self.unfinished.get(client, 0)
        self.unfinished[client] = count

    def end_unfinished(self, client: Hashable) -> None:
        """Notes that a client's message is whole, or that the client has left."""
        self.unfinished_total -= self.unfinished.pop(client, 0)

    def has_room_for_unfinished(self) -> bool:
        """Returns whether unfinished messages may grow."""
        return self.unfinished_total <= self.max_unfinished

    def begin(self, count: int) -> bool:
        """Counts a whole message whose req begins; returns False if there is no room for it."""
        if self.under_way + count > self.max_under_way:
            return False
        self.under_way += count
        return True

    def end(self, count: int) -> None:
        """Uncounts a message whose req has ended."""
        self.under_way -= count
