"""All budgets at one relay, and how module and pool heed them."""

from types import SimpleNamespace

import pytest

from laurelcourse import interface as face
from laurelcourse.chance import Chance
from laurelcourse.fleet.books.forms import COUNT, LEVEL, RATE, Budget, Done, Fence, GiveBack
from laurelcourse.fleet.budgets.holder import IDLE_LEASES, USES, Holder
from laurelcourse.fleet.keeper.forms import Bounds, Keepers
from laurelcourse.fleet.orders import Beat, Renewed, Share, Terms
from laurelcourse.fleet.session import Session

SECOND = 1_000_000
BUDGETS = (Budget("calls", COUNT, 100, 2, 10, SECOND, 0), Budget("cold-work", RATE, 30, 0, 10, 0, 0),
           Budget("connections", LEVEL, 20, 1, 10, 0, SECOND), Budget("resends", RATE, 100, 4, 10, 0, 0))
TERMS = Terms("f", 6 * SECOND, 1000, SECOND, 100, Bounds(100_000, 500_000, 1 << 16, 8, 1 << 16, 64),
              Keepers(("k",)), BUDGETS, 1000)


class Relay:
    """A session that holds what it is told, and its holder."""

    def __init__(self) -> None:
        self.now = 100 * SECOND
        self.session = Session("r", "a", TERMS, Chance(7), self.now)
        self.holder = Holder(self.session, BUDGETS, self.now - 10 * SECOND)

    def open(self) -> "Relay":
        asked = self.session.orders(self.now)[0]
        self.session.answered(self.now, asked.asked_at, (Done(Fence("r", 5, 1, 1)),))
        return self

    def beat(self, *shares: tuple[str, int, int]) -> Beat:
        """A second on, and a renewal that brings these."""
        self.now += SECOND
        self.holder.beat(self.now)
        beat = next(one for one in self.session.orders(self.now) if isinstance(one, Beat))
        told = Renewed(TERMS.lease, tuple(Share(*one) for one in shares))
        self.session.answered(self.now, beat.asked_at, told)
        self.holder.renewed(self.now)
        return beat

    def takes(self, name: str, key: str = "", many: int = 50) -> int:
        return sum(self.holder.take(self.now, name, key) is True for _ in range(many))


def test_without_a_lease_only_floors_count_and_what_has_none_is_left_to_the_module() -> None:
    one = Relay()
    assert [one.holder.could(one.now, name) for name in ("unknown", "cold-work")] == [None, None]
    assert [one.takes(name) for name in ("calls", "connections")] == [2, 1]
    one.open().beat(("calls", 7, 7), ("cold-work", 8, 8), ("connections", 3, 3))
    one.now += SECOND
    assert [one.takes(name) for name in ("calls", "connections", "cold-work")] == [9, 3, 2]  # held: 1
    assert one.holder.could(one.now, "cold-work") is False
    # The lease is over, and nobody has told this relay: the same calls find it out.
    one.now += TERMS.lease
    assert one.holder.could(one.now, "cold-work") is None
    assert [one.takes(name) for name in ("calls", "connections")] == [2, 0]


def test_keys_are_apart_and_those_beyond_the_bound_share_one_floor() -> None:
    one = Relay().open()
    assert [one.takes("connections", str(unit)) for unit in range(USES)] == [1] * USES
    assert [one.takes("connections", f"more-{unit}") for unit in range(3)] == [1, 0, 0]
    assert len(one.beat().demands) == USES  # what is beyond is not told: it is nobody's demand in the books


def test_uses_that_nobody_asks_for_go_but_not_what_is_held() -> None:
    one = Relay().open()
    assert (one.takes("connections", "1"), one.takes("resends", "2")) == (1, 0)
    for _ in range((IDLE_LEASES + 1) * 6 + 1):
        one.beat()
    assert sorted(one.holder.uses) == ["connections/1"]
    one.holder.back(one.now, "connections", "1")
    for _ in range((IDLE_LEASES + 1) * 6 + 1):
        one.beat()
    assert not one.holder.uses


def test_a_share_asked_back_is_given_back_once_and_used_no_more() -> None:
    one = Relay().open()
    one.beat(("connections", 5, 5))
    assert one.takes("connections") == 6
    one.beat(("connections", 5, 2))
    assert one.holder.give_backs(one.now) == [] and one.takes("connections") == 0  # all of it is held
    for _ in range(4):
        one.holder.back(one.now, "connections")
    assert one.holder.give_backs(one.now) == [GiveBack("connections", 2)]
    assert one.holder.give_backs(one.now) == [] and one.takes("connections") == 1
    # An answer that set out before the books heard of it still tells the old share.
    one.beat(("connections", 5, 5))
    assert one.takes("connections") == 0


@pytest.mark.parametrize("told, ends", [(None, face.SEND), (True, face.SEND), (False, face.SHED)])
def test_the_module_asks_for_each_resend(relay: type, told: bool | None, ends: str) -> None:
    one, asked = relay(), []
    one.one.heed(one.now, SimpleNamespace(
        could=lambda *_: None, take=lambda now, name, key="": asked.append((name, key)) or told))
    one.list((1, "a", 5, 90), (2, "a", 5, 90))
    sent = one.req()[-1]
    assert asked == [] and one.end(sent, 0, face.FAILED)[-1][0] == ends and asked == [(face.RESENDS, "")]


@pytest.mark.parametrize("told, ends", [(None, face.SHED), (True, face.SEND), (False, face.SHED)])
def test_a_share_of_a_cold_units_work_takes_the_place_of_the_own_part(
        relay: type, told: bool | None, ends: str) -> None:
    one, taken = relay(relays=300), []
    one.one.heed(one.now, SimpleNamespace(
        could=lambda *_: told, take=lambda now, name, key="": taken.append((name, key))))
    one.list((9, "a", 5, 0))
    assert one.req()[-1][0] == ends
    assert taken == ([(face.COLD_WORK, "9")] if ends == face.SEND else [])


