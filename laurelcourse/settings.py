"""The settings that the module reads, decoded once at start. Times are whole microseconds."""

from typing import NamedTuple

RETRIABLE, DEDUPED, NON_RETRIABLE = "retriable", "deduped", "non-retriable"
ANY, SHARE, CLOCKED = "any", "share", "clocked"
GROUP_ALL, GROUP_ZONE, GROUP_CELL = "all", "zone", "cell"


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
