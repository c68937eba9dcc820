"""Commands of workflows that wait to be submitted: the relay's own first, then one of each client in turn.

Pure. A client with many commands waits for them by itself: the next command of every other client goes before
its second one. A command that its client no longer waits for is taken out.
"""

import itertools
from collections.abc import Callable, Hashable, Iterable
from typing import NamedTuple, TypeVar

from laurelcourse.fleet.books.forms import Begin, Done, What

Item = TypeVar("Item")


def take_in_turn(items: Iterable[Item], client_of: Callable[[Item], str], count: int) -> list[Item]:
    """Returns the first items: one of each client in turn, each client's in their order."""
    lanes: dict[str, list[Item]] = {}
    for item in items:
        lanes.setdefault(client_of(item), []).append(item)
    rounds = itertools.zip_longest(*lanes.values())
    return [item for turn in rounds for item in turn if item is not None][:count]


class OutgoingCommand(NamedTuple):
    """A command, and what its result is passed to."""

    command: What
    on_result: Callable[[Done], None]
    client: str = ""  # whose call it carries out; empty: the relay's own workflows
    asker: Hashable = None  # identifies the call, for `discard`


class Lane:
    """What waits of one client: commands of workflows that have begun go before those that begin one."""

    def __init__(self) -> None:
        self.commands: list[OutgoingCommand] = []
        self.begins: list[OutgoingCommand] = []

    def __len__(self) -> int:
        return len(self.commands) + len(self.begins)

    def queue_of(self, outgoing: OutgoingCommand) -> list[OutgoingCommand]:
        """Returns the queue that a command belongs to."""
        return self.begins if isinstance(outgoing.command, Begin) else self.commands

    def take(self, may_begin: bool) -> OutgoingCommand | None:
        """Takes the next command; None if there is none, or only such as begin a workflow and may not."""
        if self.commands:
            return self.commands.pop(0)
        return self.begins.pop(0) if may_begin and self.begins else None

    def discard(self, asker: Hashable) -> bool:
        """Takes a call's command out; returns False if it was taken before."""
        for queue in (self.commands, self.begins):
            for index, outgoing in enumerate(queue):
                if outgoing.asker is asker:
                    del queue[index]
                    return True
        return False


class Outbox:
    """The queue, with a lane for each client and one for the relay itself."""

    def __init__(self) -> None:
        self.own = Lane()
        self.lanes: dict[str, Lane] = {}  # by client, the one that is next in turn first

    def __len__(self) -> int:
        return len(self.own) + sum(map(len, self.lanes.values()))

    def append(self, outgoing: OutgoingCommand) -> None:
        """Adds a command behind those of the same client."""
        self._lane(outgoing.client).queue_of(outgoing).append(outgoing)

    def put_back(self, commands: Iterable[OutgoingCommand]) -> None:
        """Puts commands that were taken back in front, in their order."""
        for outgoing in reversed(list(commands)):
            self._lane(outgoing.client).queue_of(outgoing).insert(0, outgoing)

    def discard(self, client: str, asker: Hashable) -> bool:
        """Takes a call's command out; returns False if it was taken before."""
        lane = self.lanes.get(client)
        found = lane is not None and lane.discard(asker)
        if found and not lane:
            del self.lanes[client]
        return found

    def take(self, max_commands: int, max_begins: int) -> list[OutgoingCommand]:
        """Takes the next commands; at most `max_begins` of them begin a workflow.

        Half is left to clients as long as any wait, so that the relay's own commands can't keep them out.
        """
        own_count = max(max_commands - len(self.lanes), max_commands // 2)
        taken: list[OutgoingCommand] = []

        def take_from(lane: Lane) -> bool:
            begins = sum(isinstance(outgoing.command, Begin) for outgoing in taken)
            outgoing = lane.take(begins < max_begins)
            taken.extend([outgoing] if outgoing else [])
            return outgoing is not None

        while len(taken) < own_count and take_from(self.own):
            pass
        progress = True
        while progress and len(taken) < max_commands:
            turn = list(self.lanes)[: max_commands - len(taken)]
            served = [client for client in turn if take_from(self.lanes[client])]
            for client in served:
                self._end_turn(client)
            progress = bool(served)
        return taken

    def _lane(self, client: str) -> Lane:
        return self.lanes.setdefault(client, Lane()) if client else self.own

    def _end_turn(self, client: str) -> None:
        """Puts a client behind all others, or out if nothing of it waits."""
        lane = self.lanes.pop(client)
        if lane:
            self.lanes[client] = lane
