"""Membership changes, one keeper at a time (Ongaro's thesis, 4.1 and 4.2). Pure."""

from laurelcourse.fleet.keeper.messages import Keepers


def encode_keepers(keepers: Keepers) -> bytes:
    """Returns an entry's data: `voter,voter;learner,learner`, ASCII."""
    return (",".join(keepers.voters) + ";" + ",".join(keepers.learners)).encode("ascii")


def decode_keepers(data: bytes) -> Keepers:
    """Parses an entry's data."""
    voters, _, learners = data.decode("ascii").partition(";")
    return Keepers(*(tuple(name for name in part.split(",") if name) for part in (voters, learners)))


def quorum(keepers: Keepers) -> int:
    """Returns the size of a majority of the voters."""
    return len(keepers.voters) // 2 + 1


def others(keepers: Keepers, me: str) -> tuple[str, ...]:
    """Returns all other members, in a fixed order."""
    return tuple(name for name in (*keepers.voters, *keepers.learners) if name != me)


def is_well_formed(keepers: Keepers) -> bool:
    """Returns whether there is a voter, and the names are usable, sorted and unique."""
    names = (*keepers.voters, *keepers.learners)
    usable = all(name and name.isascii() and not set(name) & set(",;") for name in names)
    in_order = all(tuple(sorted(part)) == tuple(part) for part in keepers)
    return bool(keepers.voters) and usable and in_order and len(set(names)) == len(names)


def changed_names(old: Keepers, new: Keepers) -> tuple[str, ...]:
    """Returns the keepers whose standing differs.

    Majorities of memberships that differ by one voter overlap; with two they may not.
    """

    def standing(keepers: Keepers, name: str) -> tuple[bool, bool]:
        return name in keepers.voters, name in keepers.learners

    names = sorted({*old.voters, *old.learners, *new.voters, *new.learners})
    return tuple(name for name in names if standing(old, name) != standing(new, name))


def is_allowed(old: Keepers, new: Keepers, caught_up: set[str], alive: set[str]) -> bool:
    """Returns whether a change may begin.

    `caught_up` may be given a vote; `alive` were heard recently, the leader included. No keeper gets a vote
    before it has received the log, or commits would wait for one that is far behind; and no change begins
    that those alive could not commit.
    """
    names = changed_names(old, new)
    if not is_well_formed(new) or len(names) != 1:
        return False
    if names[0] in new.voters and names[0] not in caught_up:
        return False
    return sum(name in alive for name in new.voters) >= quorum(new)
