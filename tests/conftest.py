"""One file of helpers: settings of an imagined deployment, and a relay to drive."""

from collections.abc import Callable

import pytest

from laurelcourse import interface as face
from laurelcourse.rules import Balancer
from laurelcourse.settings import DEDUPED, NON_RETRIABLE, RETRIABLE, Route, Settings

SECOND = 1_000_000


def route(name: str, repeat: str, group: str = "all") -> Route:
    return Route(name, SECOND, 3 * SECOND, 1.0, 0.2, repeat, group, 2 * SECOND)


SETTINGS = Settings(
    me=0, relays=3, zone="a", tick=5000, max_tries=3, may_duplicate=True, may_probe=True, may_tell=True,
    may_name_return=True, longest_return=SECOND, must_ask=False, ask_within=10 * SECOND,
    routes=(route("read", RETRIABLE), route("mark", DEDUPED, "zone"), route("once", NON_RETRIABLE)),
    drain_grace=SECOND, cold_share=0.3, warm_after=4 * SECOND, overload_factor=3.0, tip_after=SECOND,
    cap_by_route=False, cap_free=2, cap_window=2 * SECOND, stage_caps=(0.1, 1.0), stage_shares=(0.1, 1.0),
    shielded=1, keys_stay=False, control="any", bake=SECOND, vote_life=4 * SECOND, vote_timeout=SECOND,
    votes_on=1, votes_back=1, complaint_share=0.3, crossing_price=0.0)


class Relay:
    """Drives one balancer and keeps the clock."""

    def __init__(self, **changed: object) -> None:
        self.now, self.made = 100 * SECOND, 0
        self.one = Balancer(SETTINGS._replace(**changed), 7, self.now)
        self.first = self.one.start(self.now)

    def list(self, *units: tuple[int, str, int, int], how: str = face.WHOLE,
             health: str = face.READY) -> None:
        """Units as (number, zone, build, seconds since its start)."""
        entries = [face.Listed(unit, zone, 0, build, health, 1.0, self.now - int(age * SECOND))
                   for unit, zone, build, age in units]
        self.one.directory(self.now, how, entries)

    def news(self, build: int, stage: int = 0, standing: int = 0, cap: float = 0.1, since: int = 0) -> list:
        return self.one.stage(self.now, build, stage, standing, False, face.COUNTED, cap, since)

    def req(self, route: str = "read", left: int = 2 * SECOND) -> list:
        self.made += 1
        return self.one.new_req(self.now, f"r{self.made}", route, "", None, left, False)

    def end(self, sent: tuple, number: int, status: str, lag: int = 100_000,
            last: bool | None = None) -> list:
        self.now += lag
        return self.one.outcome(self.now, sent[1], number, sent[2], status, lag,
                                status == face.OK if last is None else last, {})

    def serve(self, times: int, status: str = face.OK, route: str = "read", lag: int = 100_000) -> None:
        for _ in range(times):
            sent, number = self.req(route)[-1], 0
            while sent[0] == face.SEND:
                results, number = self.end(sent, number, status, lag), number + 1
                sent = results[-1] if results else (None,)

    def wait(self, seconds: float) -> list:
        found = []
        for _ in range(int(seconds * 20)):
            self.now += SECOND // 20
            found += self.one.timer(self.now, "beat")
        return found


@pytest.fixture
def relay() -> Callable[..., Relay]:
    return Relay
