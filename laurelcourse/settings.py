"""The settings that the decision module reads, decoded once at start. Times are whole microseconds."""

from collections.abc import Mapping
from typing import NamedTuple

# What a second run of a req does.
RETRIABLE = "retriable"  # no harm
DEDUPED = "deduped"  # nothing, while its group of units remembers the first run
NON_RETRIABLE = "non-retriable"  # harm

# Whose votes move a build: any few relays, a share of all, or the platform's clock unless a vote holds it.
ANY = "any"
SHARE = "share"
CLOCKED = "clocked"

# Which units remember the same runs of a deduped route.
GROUP_ALL = "all"
GROUP_ZONE = "zone"
GROUP_CELL = "cell"

CAP_PER_ROUTE = "per_lane"
MAX_NUMBER = 1 << 45  # of a number in the settings: a thousand years in milliseconds

REPEAT_POLICIES = {"idempotent": RETRIABLE, "deduplicated": DEDUPED, "at_most_once": NON_RETRIABLE}
RELEASE_CONTROLS = {"single": ANY, "majority": SHARE, "clocked": CLOCKED}
DEDUP_GROUPS = {word: word for word in (GROUP_ALL, GROUP_ZONE, GROUP_CELL)}
CAP_SCOPES = {word: word for word in ("all", CAP_PER_ROUTE)}


class Route(NamedTuple):
    """One class of reqs."""

    name: str
    objective: int  # latency objective
    timeout: int
    worth: float  # of a req answered within the objective
    late_share: float  # of the worth that a late answer still has
    repeat_policy: str
    dedup_group: str
    dedup_window: int  # time for which units remember a run


class Settings(NamedTuple):
    """What the platform tells a relay about itself and its rules."""

    relay_index: int
    relay_count: int
    zone: str
    routes: tuple[Route, ...]
    tick: int  # resolution of the platform's clock
    max_tries: int
    may_duplicate: bool  # a second try may start while the first is open
    may_probe: bool
    may_message_peers: bool
    may_send_retry_after: bool
    max_retry_after: int
    must_poll: bool  # the directory answers calls and pushes nothing
    max_poll_interval: int
    drain_grace: int  # time after which nothing may be sent to a unit reported as draining
    start_capacity: float  # share of a warm unit's capacity that a unit has as it starts
    warm_up_time: int
    overload_factor: float
    overload_window: int  # time over which a cold unit's overload is counted
    cap_per_route: bool
    cap_free_tries: float  # tries at a build on trial that are allowed beside the capped share
    cap_window: int
    stage_caps: tuple[float, ...]
    stage_shares: tuple[float, ...]  # share of units that run the build on trial, by stage
    protected_stages: int  # first stages in which the build on trial gets retriable reqs only
    sticky_keys: bool  # a key that met a newer build may not meet an older one
    release_control: str
    min_stage_time: int
    vote_ttl: int
    vote_timeout: int
    votes_to_advance: int
    votes_to_roll_back: int
    complaint_share: float  # of wrong answers that clients complain of
    cross_zone_price: float
    may_cancel: bool = True


class SettingsError(Exception):
    """A field of the settings is missing or unusable; the message names it by its path."""


class SettingsTree:
    """A nested mapping, read by dotted path. Numbers and lists may also stand in it as text.

    Each method raises SettingsError if the field is missing or unreadable.
    """

    def __init__(self, root: Mapping, prefix: str = "") -> None:
        self.root, self.prefix = root, prefix

    def branch(self, path: str) -> "SettingsTree":
        """Returns the mapping at a path as a tree of its own."""
        value = self.value(path)
        if not isinstance(value, Mapping):
            raise self.unreadable(path)
        return SettingsTree(value, f"{self.prefix}{path}.")

    def value(self, path: str) -> object:
        """Returns what stands at a path, as it is."""
        value: object = self.root
        for part in path.split("."):
            try:
                value = value[int(part) if isinstance(value, list) else part]
            except (KeyError, IndexError, TypeError, ValueError):
                raise SettingsError(f"lacks the field '{self.prefix}{path}'") from None
        return value

    def unreadable(self, path: str) -> SettingsError:
        """Returns the error for a field whose value cannot be used."""
        return SettingsError(f"has an unreadable '{self.prefix}{path}'")

    def items(self, path: str) -> list:
        """Returns a list."""
        value = self.value(path)
        if not isinstance(value, list):
            raise self.unreadable(path)
        return value

    def text(self, path: str) -> str:
        """Returns a text."""
        value = self.value(path)
        if not isinstance(value, str):
            raise self.unreadable(path)
        return value

    def flag(self, path: str) -> bool:
        """Returns whether a field says yes."""
        return self.value(path) in (True, "true", "1")

    def number(self, path: str) -> float:
        """Returns a finite number of bounded size."""
        try:
            value = float(self.value(path))
        except (TypeError, ValueError):
            raise self.unreadable(path) from None
        if not abs(value) <= MAX_NUMBER:
            raise self.unreadable(path)
        return value

    def integer(self, path: str, minimum: int | None = None) -> int:
        """Returns a number rounded to an integer."""
        return self._checked(path, round(self.number(path)), minimum, minimum)

    def microseconds(self, path: str, minimum: int | None = None) -> int:
        """Returns a time given in milliseconds as microseconds; `minimum` is in microseconds too."""
        return self._checked(path, round(self.number(path) * 1000), minimum, (minimum or 0) / 1000)

    def _checked(self, path: str, value: int, minimum: int | None, shown_minimum: float | None) -> int:
        if minimum is not None and value < minimum:
            raise SettingsError(
                f"has '{self.prefix}{path}' under {shown_minimum:g}, the least that can be served with"
            )
        return value

    def numbers(self, path: str) -> tuple[float, ...]:
        """Returns a list of numbers, none negative, or the same as text separated by commas."""
        value = self.value(path)
        parts = value.split(",") if isinstance(value, str) else value
        try:
            numbers = tuple(float(part) for part in parts if part != "")
        except (TypeError, ValueError):
            raise self.unreadable(path) from None
        if not numbers or not all(0 <= number <= MAX_NUMBER for number in numbers):
            raise self.unreadable(path)
        return numbers

    def one_of(self, path: str, words: Mapping[str, str]) -> str:
        """Returns what one of several words stands for."""
        word = self.text(path)
        if word not in words:
            raise self.unreadable(path)
        return words[word]


def decode_route(tree: SettingsTree, prefix: str) -> Route:
    """Returns the route whose fields stand under a path. Raises SettingsError."""
    repeat_policy = tree.one_of(prefix + "effect", REPEAT_POLICIES)
    # Only for deduped routes does the platform state where and for how long a repeat is dropped.
    dedup_group = tree.one_of(prefix + "group", DEDUP_GROUPS) if repeat_policy == DEDUPED else GROUP_ALL
    return Route(
        name=tree.text(prefix + "name"),
        objective=tree.microseconds(prefix + "aim", 1000),
        timeout=tree.microseconds(prefix + "deadline"),
        worth=max(tree.number(prefix + "worth"), 0.0),
        late_share=tree.number(prefix + "late_share"),
        repeat_policy=repeat_policy,
        dedup_group=dedup_group,
        dedup_window=tree.microseconds(prefix + "memory_span") if repeat_policy == DEDUPED else 0,
    )


def decode(tree: SettingsTree) -> Settings:
    """Returns the decision module's settings. Raises SettingsError."""
    if not tree.items("classes"):
        raise SettingsError(f"has no route in '{tree.prefix}classes'")
    caps, shares = tree.numbers("domain.most_shares"), tree.numbers("domain.rings")
    if len(caps) != len(shares):
        raise SettingsError(
            f"has a cap for {len(caps)} stages in '{tree.prefix}domain.most_shares', but "
            f"{len(shares)} in '{tree.prefix}domain.rings'"
        )
    must_poll = tree.text("discovery") == "ask"
    return Settings(
        relay_index=tree.integer("me", 0),
        relay_count=tree.integer("balancers", 1),
        zone=tree.text("locality"),
        routes=tuple(decode_route(tree, f"classes.{index}.") for index in range(len(tree.items("classes")))),
        tick=tree.microseconds("tick", 1),
        max_tries=tree.integer("limits.max_attempts"),
        may_duplicate=tree.flag("limits.may_duplicate"),
        may_probe=tree.flag("limits.probes"),
        may_message_peers=tree.flag("limits.peer_messages"),
        may_send_retry_after=tree.flag("limits.retry_after"),
        max_retry_after=(
            tree.microseconds("limits.max_retry_after") if tree.flag("limits.retry_after") else 0
        ),
        must_poll=must_poll,
        max_poll_interval=tree.microseconds("obligations.must_ask_in") if must_poll else 0,
        drain_grace=tree.microseconds("obligations.stop_sending_within"),
        start_capacity=tree.number("obligations.start_capacity"),
        warm_up_time=tree.microseconds("obligations.warm_after", 1),
        overload_factor=tree.number("obligations.overload_factor"),
        overload_window=tree.microseconds("obligations.tip_after", 1),
        cap_per_route=tree.one_of("domain.cap_scope", CAP_SCOPES) == CAP_PER_ROUTE,
        cap_free_tries=tree.number("domain.free"),
        cap_window=tree.microseconds("domain.counted_over"),
        stage_caps=caps,
        stage_shares=shares,
        protected_stages=tree.integer("domain.shielded"),
        sticky_keys=tree.flag("domain.keys_stay"),
        release_control=tree.one_of("domain.decided_by", RELEASE_CONTROLS),
        min_stage_time=tree.microseconds("domain.least_stage"),
        vote_ttl=tree.microseconds("domain.ballot_ttl"),
        vote_timeout=tree.microseconds("domain.api_timeout"),
        votes_to_advance=tree.integer("domain.to_advance"),
        votes_to_roll_back=tree.integer("domain.back_votes"),
        complaint_share=tree.number("domain.complaint_share"),
        cross_zone_price=tree.number("prices.cross_zone"),
        may_cancel="cancel" in tree.branch("limits").root and tree.flag("limits.cancel"),
    )
