"""All budgets at one relay, and how the balancer and the pool respect them."""

from collections.abc import Callable
from types import SimpleNamespace

import pytest
from conftest import BalancerDriver

from laurelcourse import interface as face
from laurelcourse.fleet.books.forms import COUNT, LEVEL, RATE, Budget, Done, Fence, GiveBack
from laurelcourse.fleet.budgets.holder import IDLE_LEASES, MAX_USES, Holder
from laurelcourse.fleet.keeper.messages import Bounds, Keepers
from laurelcourse.fleet.orders import Beat, Renewed, Share, Terms
from laurelcourse.fleet.session import Session
from laurelcourse.prng import Prng

SECOND = 1_000_000
BUDGETS = (
    Budget("calls", COUNT, 100, 2, 10, SECOND, 0),
    Budget("cold-work", RATE, 30, 0, 10, 0, 0),
    Budget("connections", LEVEL, 20, 1, 10, 0, SECOND),
    Budget("resends", RATE, 100, 4, 10, 0, 0),
)
TERMS = Terms(
    "f",
    6 * SECOND,
    1000,
    SECOND,
    100,
    Bounds(100_000, 500_000, 1 << 16, 8, 1 << 16, 64),
    Keepers(("k",)),
    BUDGETS,
    1000,
)


class Relay:
    """A session that holds what it is told, and its holder."""

    def __init__(self) -> None:
        self.now = 100 * SECOND
        self.session = Session("r", "a", TERMS, Prng(7), self.now)
        self.holder = Holder(self.session, BUDGETS, self.now - 10 * SECOND)

    def open(self) -> "Relay":
        asked = self.session.orders(self.now)[0]
        self.session.answered(self.now, asked.asked_at, (Done(Fence("r", 5, 1, 1)),))
        return self

    def beat(self, *shares: tuple[str, int, int]) -> Beat:
        """Goes a second on, and renews with these shares."""
        self.now += SECOND
        self.holder.update_session(self.now)
        beat = next(order for order in self.session.orders(self.now) if isinstance(order, Beat))
        renewed = Renewed(TERMS.lease, tuple(Share(*share) for share in shares))
        self.session.answered(self.now, beat.asked_at, renewed)
        self.holder.renewed(self.now)
        return beat

    def takes(self, name: str, key: str = "", many: int = 50) -> int:
        return sum(self.holder.consume(self.now, name, key) is True for _ in range(many))


def test_without_a_lease_only_floors_may_be_used() -> None:
    relay = Relay()
    assert [relay.holder.allows(relay.now, name) for name in ("unknown", "cold-work")] == [None, None]
    assert [relay.takes(name) for name in ("calls", "connections")] == [2, 1]
    relay.open().beat(("calls", 7, 7), ("cold-work", 8, 8), ("connections", 3, 3))
    relay.now += SECOND
    assert [relay.takes(name) for name in ("calls", "connections", "cold-work")] == [9, 3, 2]  # held: 1
    assert relay.holder.allows(relay.now, "cold-work") is False
    # The lease is over, and nobody has told this relay: the same calls find it out.
    relay.now += TERMS.lease
    assert relay.holder.allows(relay.now, "cold-work") is None
    assert [relay.takes(name) for name in ("calls", "connections")] == [2, 0]


@pytest.mark.parametrize("over", ["closed", "ended"])
def test_a_session_that_is_over_before_its_lease_leaves_only_floors(over: str) -> None:
    """It was ended by itself or by the keepers (it learns so by a refusal): its shares may be others' now."""
    relay = Relay().open()
    relay.beat(("calls", 7, 7), ("cold-work", 8, 8), ("connections", 3, 3))
    assert relay.holder.allows(relay.now, "cold-work") is not None
    if over == "closed":
        relay.session.close(relay.now)
    else:
        relay.now += SECOND
        beat = relay.session.orders(relay.now)[0]
        relay.session.answered(relay.now, beat.asked_at, Done(code="lapsed_lease"))
    assert relay.now < relay.holder.uses["calls"].until, "the lease would have lasted"
    assert relay.takes("calls") == 2 and relay.holder.allows(relay.now, "cold-work") is None
    assert [relay.holder.allows(relay.now, "connections", amount=amount) for amount in (1, 2)] == [
        True,
        False,
    ]


def test_keys_have_separate_budgets_up_to_a_limit() -> None:
    relay = Relay().open()
    assert [relay.takes("connections", str(unit)) for unit in range(MAX_USES)] == [1] * MAX_USES
    assert [relay.takes("connections", f"more-{unit}") for unit in range(3)] == [1, 0, 0]
    assert (
        len(relay.beat().demands) == MAX_USES
    )  # what is beyond is not told: it is nobody's demand in the books


def test_unused_budget_uses_are_dropped_unless_they_hold_something() -> None:
    relay = Relay().open()
    assert (relay.takes("connections", "1"), relay.takes("resends", "2")) == (1, 0)
    for _ in range((IDLE_LEASES + 1) * 6 + 1):
        relay.beat()
    assert sorted(relay.holder.uses) == ["connections/1"]
    relay.holder.release(relay.now, "connections", "1")
    for _ in range((IDLE_LEASES + 1) * 6 + 1):
        relay.beat()
    assert not relay.holder.uses


def test_a_revoked_share_is_given_back_once_and_not_used() -> None:
    relay = Relay().open()
    relay.beat(("connections", 5, 5))
    assert relay.takes("connections") == 6
    relay.beat(("connections", 5, 2))
    assert relay.holder.give_backs(relay.now) == [] and relay.takes("connections") == 0  # all of it is held
    for _ in range(4):
        relay.holder.release(relay.now, "connections")
    assert relay.holder.give_backs(relay.now) == [GiveBack("connections", 2)]
    assert relay.holder.give_backs(relay.now) == [] and relay.takes("connections") == 1
    # An answer that set out before the books heard of it still tells the old share.
    relay.beat(("connections", 5, 5))
    assert relay.takes("connections") == 0


@pytest.mark.parametrize("allowed, ends", [(None, face.SEND), (True, face.SEND), (False, face.SHED)])
def test_the_balancer_consumes_budget_for_each_retry(
    make_driver: Callable[..., BalancerDriver], allowed: bool | None, ends: str
) -> None:
    driver, asked = make_driver(), []
    driver.balancer.heed(
        driver.now,
        SimpleNamespace(
            allows=lambda *_: None, consume=lambda now, name, key="": asked.append((name, key)) or allowed
        ),
    )
    driver.list((1, "a", 5, 90), (2, "a", 5, 90))
    sent = driver.req()[-1]
    assert asked == [] and driver.end(sent, 0, face.FAILED)[-1][0] == ends and asked == [(face.RESENDS, "")]


@pytest.mark.parametrize("allowed, ends", [(None, face.SHED), (True, face.SEND), (False, face.SHED)])
def test_a_budget_of_cold_work_replaces_the_relays_own_share(
    make_driver: Callable[..., BalancerDriver], allowed: bool | None, ends: str
) -> None:
    driver, taken = make_driver(relay_count=300), []
    driver.balancer.heed(
        driver.now,
        SimpleNamespace(
            allows=lambda *_: allowed, consume=lambda now, name, key="": taken.append((name, key))
        ),
    )
    driver.list((9, "a", 5, 0))
    assert driver.req()[-1][0] == ends
    assert taken == ([(face.COLD_WORK, "9")] if ends == face.SEND else [])


@pytest.mark.parametrize(
    "units, age, ends",
    [
        (1, 0, [face.SHED]),
        (2, 0, [face.SHED]),
        (1, -0.5, [face.SHED]),
        (2, 0.01, [face.SEND, 8, 9]),
        (2, 4, [face.SEND, 8, 9]),
    ],
)
def test_a_unit_with_start_capacity_zero_gets_nothing_at_first(
    make_driver: Callable[..., BalancerDriver], units: int, age: float, ends: list
) -> None:
    """Whatever the fleet's budget says: there is no capacity of which it could have a share."""
    driver = make_driver(start_capacity=0.0)
    driver.balancer.heed(driver.now, SimpleNamespace(allows=lambda *_: True, consume=lambda *_: True))
    driver.list(*((unit, "a", 5, age) for unit in (8, 9)[:units]))
    end = driver.req()[-1]
    assert end[0] == ends[0] and (end[0] == face.SHED or end[2] in ends)


@pytest.mark.parametrize("allowed", [None, True])
def test_a_warm_unit_serves_while_a_cold_one_may_not(
    make_driver: Callable[..., BalancerDriver], allowed: bool | None
) -> None:
    driver = make_driver(start_capacity=0.0)
    driver.balancer.heed(
        driver.now, SimpleNamespace(allows=lambda *_: allowed, consume=lambda *_: allowed, release=None)
    )
    driver.list((8, "a", 5, 90), (9, "a", 5, 0))
    assert [driver.req()[-1][2] for _ in range(8)] == [8] * 8


@pytest.mark.parametrize(
    "ends, taken",
    [
        ([face.UNSENT, face.OK], 0),
        ([face.UNSENT] * 4, 0),
        ([face.UNSENT, face.FAILED, face.OK], 1),
        ([face.FAILED, face.UNSENT, face.OK], 1),
        ([face.FAILED, face.FAILED, face.OK], 2),
    ],
)
def test_a_try_without_a_connection_costs_no_retry(
    make_driver: Callable[..., BalancerDriver], ends: list, taken: int
) -> None:
    """Where connections are not waited for, many such tries return at once.

    Each used to take a retry's place, and relays on their floor made none (`floor_broken` of `lab budgets`).
    """
    driver, asked = make_driver(), []
    driver.balancer.heed(
        driver.now,
        SimpleNamespace(allows=lambda *_: None, consume=lambda now, name, key="": asked.append(name) or True),
    )
    driver.list(*((unit, "a", 5, 90) for unit in range(1, 6)))
    sent = driver.req()[-1]
    for number, status in enumerate(ends):
        if sent[0] == face.SEND:
            sent = (driver.end(sent, number, status) or [(None,)])[-1]
    assert asked == [face.RESENDS] * taken


def test_tries_without_a_connection_leave_the_retry_floor_to_failed_ones(
    make_driver: Callable[..., BalancerDriver],
) -> None:
    """A relay without a lease, with a floor of 4 retries a second, and units that accept no connection."""
    driver, away = make_driver(), Relay()
    assert away.holder.allows(driver.now - SECOND, "resends") is False  # a bucket begins empty
    driver.balancer.heed(
        driver.now,
        SimpleNamespace(
            allows=lambda *_: None, consume=lambda now, name, key="": away.holder.consume(now, name, key)
        ),
    )
    driver.list(*((unit, "a", 5, 90) for unit in range(1, 6)))
    for _ in range(50):
        sent = driver.req()[-1]
        for number in range(9):
            if sent[0] == face.SEND:
                sent = driver.end(sent, number, face.UNSENT, lag=5000)[-1]
        assert sent[0] == face.SHED
    assert driver.end(driver.req()[-1], 0, face.FAILED, lag=5000)[-1][0] == face.SEND
