"""The keepers' log in memory: each hard case of Raft by hand, then seeded runs with faults of every kind.

`Fleet` carries out what cores return, holds disks in memory, and checks at every step what must always hold:
one leader a term, one entry an index among all that was ever committed, no word before its write.
"""


from laurelcourse.chance import Chance
from laurelcourse.fleet.keeper import forms
from laurelcourse.fleet.keeper.core import Core
from laurelcourse.fleet.keeper.forms import (
    BOOKS,
    LEADER,
    Bounds,
    Entry,
    Keepers,
    Kept,
    Snapshot,
    Write,
)

MS = 1_000
BOUNDS = Bounds(beat=50 * MS, patience=500 * MS, batch=150, ahead=4, piece=40, waiting=20)
ABC = Keepers(("a", "b", "c"))


def written(kept: Kept, write: Write) -> Kept:
    """The order that `forms.Write` names, as a store has to keep it."""
    entries, snap = kept.entries, kept.snapshot
    if write.snapshot:
        snap = write.snapshot
        entries = () if write.snapshot_whole else tuple(one for one in entries if one.index > snap.index)
    if write.cut:
        entries = tuple(one for one in entries if one.index < write.cut)
    entries += write.entries
    first = snap.index if snap else 0
    assert [one.index for one in entries] == list(range(first + 1, first + 1 + len(entries)))
    assert write.term >= kept.term and not (write.term == kept.term and kept.vote not in ("", write.vote))
    return Kept(kept.disk, write.term, write.vote, snap, entries, kept.marks if write.marks is None else write.marks)


class Fleet:
    def __init__(self, keepers: Keepers = ABC, seed: int = 1, names: str = "", bounds: Bounds = BOUNDS) -> None:
        self.now, self.seed, self.keepers, self.bounds = 0, seed, keepers, bounds
        self.cores: dict[str, Core] = {}
        self.disks: dict[str, Kept] = {}
        self.books: dict[str, list[bytes]] = {}
        self.wire: list[tuple[str, str, forms.Message]] = []
        self.cut: set[tuple[str, str]] = set()
        self.leaders: dict[int, str] = {}
        self.committed: dict[int, Entry] = {}
        self.taken: dict[int, tuple[int, int]] = {}
        self.reads: dict[int, int] = {}
        self.refused: dict[int, str] = {}
        for name in names or (*keepers.voters, *keepers.learners):
            self.start(name)

    def start(self, name: str, kept: Kept | None = None) -> Core:
        """From what its disk holds, `kept` or an empty one."""
        disk = kept or self.disks.get(name) or Kept(f"disk-{name}", 0, "", None, (), {})
        self.seed += 1
        self.disks[name] = disk
        core = Core(name, self.bounds, Chance(self.seed), disk, self.keepers, self.now)
        self.books[name] = self.opened(disk.snapshot)
        self.cores[name] = core
        return core

    def opened(self, snap: Snapshot | None) -> list[bytes]:
        return snap.data.split(b"|")[1:] if snap else []

    def crash(self, name: str) -> None:
        del self.cores[name]

    def carry(self, name: str, out: forms.Out) -> forms.Out:
        if out.write:
            self.disks[name] = written(self.disks[name], out.write)
        self.wire += [(name, to, message) for to, message in out.send]
        if out.restore:
            self.books[name] = self.opened(out.restore)
        for one in out.apply:
            assert self.committed.setdefault(one.index, one) == one, "two entries committed at one index"
            self.books[name].append(one.data)
            assert len(self.books[name]) == one.index, "applied out of order"
        self.taken |= {token: (index, term) for token, index, term in out.taken}
        self.reads |= dict(out.reads)
        self.refused |= dict(out.refused)
        core = self.cores[name]
        disk = self.disks[name]
        assert (disk.term, disk.vote) == (core.term, core.vote), "not on disk when it was said"
        assert disk.entries == tuple(core.log.entries)
        if core.role == LEADER:
            assert self.leaders.setdefault(core.term, name) == name, "two leaders in a term"
        return out

    def tick(self, name: str) -> forms.Out:
        return self.carry(name, self.cores[name].tick(self.now))

    def say(self, sender: str, to: str, message: forms.Message) -> forms.Out:
        return self.carry(to, self.cores[to].hear(self.now, sender, message))

    def deliver(self, most: int = 100_000) -> None:
        """All that is under way, and what comes of it, in order."""
        while self.wire and most:
            most -= 1
            sender, to, message = self.wire.pop(0)
            if to in self.cores and (sender, to) not in self.cut:
                self.say(sender, to, message)
        assert most, "messages without end"

    def run(self, until: object = None, for_: int = 20_000 * MS) -> None:
        """Delivers and ticks in time order until the condition holds; without one, for that long."""
        end = self.now + for_
        self.deliver()
        while not (until and until()):
            due = min(core.due() for core in self.cores.values())
            if due > end:
                assert until is None, "did not come about"
                self.now = end
                return
            self.now = max(self.now, due)
            for name in sorted(self.cores):
                if name in self.cores and self.cores[name].due() <= self.now:
                    self.tick(name)
            self.deliver()

    def leading(self) -> str:
        found = [name for name, one in sorted(self.cores.items()) if one.role == LEADER]
        return max(found, key=lambda name: self.cores[name].term) if found else ""

    def lead(self, name: str = "a") -> Core:
        """That keeper comes to lead, and all know it."""
        self.run(self.leading)
        if self.leading() != name:
            self.carry(self.leading(), self.cores[self.leading()].hand_over(self.now, name))
            self.run(lambda: self.leading() == name)
        self.run(for_=2 * self.bounds.beat)
        return self.cores[name]

    def propose(self, name: str, data: bytes, token: int = 0) -> forms.Out:
        return self.carry(name, self.cores[name].propose(self.now, token, BOOKS, data))

    def change(self, name: str, voters: str, learners: str = "", token: int = 0) -> str:
        self.refused.pop(token, None)
        self.carry(name, self.cores[name].change(self.now, token, Keepers(tuple(voters), tuple(learners))))
        return self.refused.get(token, "")

    def part(self, *names: str) -> None:
        """Nothing passes between these and the others."""
        every = set(self.disks)
        self.cut = {pair for one in names for other in every - set(names) for pair in ((one, other), (other, one))}

    def same(self) -> bool:
        return len({(one.last, one.commit) for one in self.cores.values()}) == 1 and len(
            {tuple(books) for name, books in self.books.items() if name in self.cores}) == 1


def test_one_comes_to_lead_and_all_apply_the_same() -> None:
    fleet = Fleet()
    fleet.lead("b")
    for number in range(30):
        fleet.propose("b", b"%d" % number, number)
        if number % 7 == 0:
            fleet.deliver()
    fleet.run(fleet.same)
    assert fleet.books["c"][-len(fleet.taken):] == [b"%d" % number for number in sorted(fleet.taken)]
