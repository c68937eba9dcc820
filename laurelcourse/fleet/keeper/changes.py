"""Changes of the keepers, one at a time (Ongaro's thesis, 4.1 and 4.2). Pure."""

from laurelcourse.fleet.keeper.forms import Keepers


def told_keepers(keepers: Keepers) -> bytes:
    """As an entry's data: `voter,voter;learner,learner`, ASCII."""
    return (",".join(keepers.voters) + ";" + ",".join(keepers.learners)).encode("ascii")


def read_keepers(data: bytes) -> Keepers:
    voters, _, learners = data.decode("ascii").partition(";")
    return Keepers(*(tuple(name for name in part.split(",") if name) for part in (voters, learners)))


def quorum(keepers: Keepers) -> int:
    return len(keepers.voters) // 2 + 1


def others(keepers: Keepers, me: str) -> tuple[str, ...]:
    """All that are sent the log, in a stated order."""
    return tuple(name for name in (*keepers.voters, *keepers.learners) if name != me)


def well_formed(keepers: Keepers) -> bool:
    names = (*keepers.voters, *keepers.learners)
    clean = all(name and name.isascii() and not set(name) & set(",;") for name in names)
    in_order = all(tuple(sorted(part)) == tuple(part) for part in keepers)
    return bool(keepers.voters) and clean and in_order and len(set(names)) == len(names)


def changed(old: Keepers, new: Keepers) -> tuple[str, ...]:
    """Whose standing differs. Majorities of lists that differ by one voter overlap; by two, they may not."""

    def standing(keepers: Keepers, name: str) -> tuple[bool, bool]:
        return name in keepers.voters, name in keepers.learners

    names = sorted({*old.voters, *old.learners, *new.voters, *new.learners})
    return tuple(name for name in names if standing(old, name) != standing(new, name))


def fit(old: Keepers, new: Keepers, caught_up: set[str], alive: set[str]) -> bool:
    """`caught_up`: they may be given a vote. `alive`: heard of lately, with the leader itself.

    Nobody gets a vote without having been sent the log, or the fleet would wait for a log that is far behind;
    and no change is begun that those who are alive could not commit."""
    names = changed(old, new)
    if not well_formed(new) or len(names) != 1:
        return False
    if names[0] in new.voters and names[0] not in caught_up:
        return False
    return sum(name in alive for name in new.voters) >= quorum(new)
