"""The settings that the module reads, decoded once at start. Times are whole microseconds."""

from collections.abc import Mapping
from typing import NamedTuple

RETRIABLE, DEDUPED, NON_RETRIABLE = "retriable", "deduped", "non-retriable"
ANY, SHARE, CLOCKED = "any", "share", "clocked"
GROUP_ALL, GROUP_ZONE, GROUP_CELL = "all", "zone", "cell"
BY_ROUTE = "per_lane"
MOST = 1 << 45  # of a number in the settings: a thousand years in milliseconds
REPEATS = {"idempotent": RETRIABLE, "deduplicated": DEDUPED, "at_most_once": NON_RETRIABLE}
CONTROLS = {"single": ANY, "majority": SHARE, "clocked": CLOCKED}
GROUPS = {word: word for word in (GROUP_ALL, GROUP_ZONE, GROUP_CELL)}
SCOPES = {word: word for word in ("all", BY_ROUTE)}


class Route(NamedTuple):
    name: str
    objective: int
    timeout: int
    earnings: float
    late_share: float
    repeat: str
    group: str
    memory: int


class Settings(NamedTuple):
    me: int
    relays: int
    zone: str
    routes: tuple[Route, ...]
    tick: int
    max_tries: int
    may_duplicate: bool
    may_probe: bool
    may_tell: bool
    may_name_return: bool
    longest_return: int
    must_ask: bool
    ask_within: int
    drain_grace: int
    cold_share: float
    warm_after: int
    overload_factor: float
    tip_after: int
    cap_by_route: bool
    cap_free: float
    cap_window: int
    stage_caps: tuple[float, ...]
    stage_shares: tuple[float, ...]
    shielded: int
    keys_stay: bool
    control: str
    bake: int
    vote_life: int
    vote_timeout: int
    votes_on: int
    votes_back: int
    complaint_share: float
    crossing_price: float
    may_cancel: bool = True


class SettingsError(Exception):
    """What is wrong with a field, named by its path."""


class Tree:
    """A nested mapping, read by path; numbers and lists may also stand in it as text."""

    def __init__(self, root: Mapping, name: str = "") -> None:
        self.root, self.name = root, name

    def branch(self, path: str) -> "Tree":
        found = self.value(path)
        if not isinstance(found, Mapping):
            raise self.unreadable(path)
        return Tree(found, f"{self.name}{path}.")

    def value(self, path: str) -> object:
        found: object = self.root
        for part in path.split("."):
            try:
                found = found[int(part) if isinstance(found, list) else part]
            except (KeyError, IndexError, TypeError, ValueError):
                raise SettingsError(f"lacks the field '{self.name}{path}'") from None
        return found

    def unreadable(self, path: str) -> SettingsError:
        return SettingsError(f"has an unreadable '{self.name}{path}'")

    def items(self, path: str) -> list:
        found = self.value(path)
        if not isinstance(found, list):
            raise self.unreadable(path)
        return found

    def text(self, path: str) -> str:
        found = self.value(path)
        if not isinstance(found, str):
            raise self.unreadable(path)
        return found

    def flag(self, path: str) -> bool:
        return self.value(path) in (True, "true", "1")

    def number(self, path: str) -> float:
        try:
            value = float(self.value(path))
        except (TypeError, ValueError):
            raise self.unreadable(path) from None
        if not abs(value) <= MOST:
            raise self.unreadable(path)
        return value

    def whole(self, path: str, least: int | None = None) -> int:
        return self._least(path, round(self.number(path)), least, least)

    def micros(self, path: str, least: int | None = None) -> int:
        """Milliseconds as told, in microseconds; `least` in microseconds too."""
        return self._least(path, round(self.number(path) * 1000), least, (least or 0) / 1000)

    def _least(self, path: str, value: int, least: int | None, told: float | None) -> int:
        if least is not None and value < least:
            raise SettingsError(f"has '{self.name}{path}' under {told:g}, the least that can be served with")
        return value

    def numbers(self, path: str) -> tuple[float, ...]:
        found = self.value(path)
        parts = found.split(",") if isinstance(found, str) else found
        try:
            read = tuple(float(part) for part in parts if part != "")
        except (TypeError, ValueError):
            raise self.unreadable(path) from None
        if not read or not all(0 <= value <= MOST for value in read):
            raise self.unreadable(path)
        return read

    def one_of(self, path: str, words: Mapping[str, str]) -> str:
        word = self.text(path)
        if word not in words:
            raise self.unreadable(path)
        return words[word]


def route(tree: Tree, at: str) -> Route:
    repeat = tree.one_of(at + "effect", REPEATS)
    # Where and for how long a repeat is dropped must be known; of other routes the page says nothing.
    group = tree.one_of(at + "group", GROUPS) if repeat == DEDUPED else GROUP_ALL
    return Route(
        name=tree.text(at + "name"),
        objective=tree.micros(at + "aim", 1000),
        timeout=tree.micros(at + "deadline"),
        earnings=max(tree.number(at + "worth"), 0.0),
        late_share=tree.number(at + "late_share"),
        repeat=repeat,
        group=group,
        memory=tree.micros(at + "memory_span") if repeat == DEDUPED else 0,
    )


def decode(tree: Tree) -> Settings:
    if not tree.items("classes"):
        raise SettingsError(f"has no route in '{tree.name}classes'")
    caps, shares = tree.numbers("domain.most_shares"), tree.numbers("domain.rings")
    if len(caps) != len(shares):
        raise SettingsError(
            f"has a cap for {len(caps)} stages in '{tree.name}domain.most_shares', but "
            f"{len(shares)} in '{tree.name}domain.rings'"
        )
    must_ask = tree.text("discovery") == "ask"
    return Settings(
        me=tree.whole("me", 0),
        relays=tree.whole("balancers", 1),
        zone=tree.text("locality"),
        routes=tuple(route(tree, f"classes.{place}.") for place in range(len(tree.items("classes")))),
        tick=tree.micros("tick", 1),
        max_tries=tree.whole("limits.max_attempts"),
        may_duplicate=tree.flag("limits.may_duplicate"),
        may_probe=tree.flag("limits.probes"),
        may_tell=tree.flag("limits.peer_messages"),
        may_name_return=tree.flag("limits.retry_after"),
        longest_return=tree.micros("limits.max_retry_after") if tree.flag("limits.retry_after") else 0,
        must_ask=must_ask,
        ask_within=tree.micros("obligations.must_ask_in") if must_ask else 0,
        drain_grace=tree.micros("obligations.stop_sending_within"),
        cold_share=tree.number("obligations.start_capacity"),
        warm_after=tree.micros("obligations.warm_after", 1),
        overload_factor=tree.number("obligations.overload_factor"),
        tip_after=tree.micros("obligations.tip_after", 1),
        cap_by_route=tree.one_of("domain.cap_scope", SCOPES) == BY_ROUTE,
        cap_free=tree.number("domain.free"),
        cap_window=tree.micros("domain.counted_over"),
        stage_caps=caps,
        stage_shares=shares,
        shielded=tree.whole("domain.shielded"),
        keys_stay=tree.flag("domain.keys_stay"),
        control=tree.one_of("domain.decided_by", CONTROLS),
        bake=tree.micros("domain.least_stage"),
        vote_life=tree.micros("domain.ballot_ttl"),
        vote_timeout=tree.micros("domain.api_timeout"),
        votes_on=tree.whole("domain.to_advance"),
        votes_back=tree.whole("domain.back_votes"),
        complaint_share=tree.number("domain.complaint_share"),
        crossing_price=tree.number("prices.cross_zone"),
        may_cancel="cancel" in tree.branch("limits").root and tree.flag("limits.cancel"),
    )
