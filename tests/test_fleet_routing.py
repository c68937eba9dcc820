"""Forwarding of orders, without I/O: when a keeper forwards and for how long, and whom a relay asks next."""

import sys
import threading

import pytest

from laurelcourse.fleet.books.forms import Done
from laurelcourse.fleet.orders import Answer, Renewed
from laurelcourse.fleet.routing import Attempt, LeaderRoutes, forward_target, forward_timeout
from laurelcourse.prng import Prng

REST = 100
AWAY = Done(code="not_leader", to="b", told=(("leader", "a"),))


@pytest.mark.parametrize(
    ("wished", "answer", "to"),
    [
        (True, AWAY, "a"),
        (False, AWAY, ""),  # not asked for, or handed on before
        (True, AWAY._replace(told=(("leader", ""),)), ""),
        (True, AWAY._replace(told=()), ""),
        (True, AWAY._replace(told=(("leader", "b"),)), ""),  # itself: a circle of one
        (True, AWAY._replace(told=(("leader", "d"),)), ""),  # without an address
        (True, AWAY._replace(code="unknown_fate"), ""),  # it may yet be carried out here
        (True, AWAY._replace(code="overloaded"), ""),
        (True, AWAY._replace(code="stopping"), ""),
        (True, Done(("a",)), ""),
        (True, (AWAY,), ""),
        (True, Renewed(5, ()), ""),
    ],
)
def test_orders_that_a_keeper_forwards(wished: bool, answer: Answer, to: str) -> None:
    assert forward_target(wished, answer, "b", ("a", "c")) == to


@pytest.mark.parametrize(
    ("left", "time"), [(None, 1000), (800, 700), (10_000, 1000), (8, 7), (1, 0), (0, 0), (-5, 0)]
)
def test_forwarding_leaves_an_eighth_of_the_time_for_the_return(left: int | None, time: int) -> None:
    assert forward_timeout(left, 1000) == time


def played(steps: str, turn: int = 2) -> list[str]:
    """Returns whom an order goes to, by name, with '>' where that keeper is to forward it.

    Steps: 'x' no answer, '-b' not leader but b is ('--': nobody), '!' overloaded, '?' another refusal, 'a>'
    an answer that a gave to the one who forwarded, '=' an answer; '+' time passes until leaders are asked
    again.
    """
    routes, now, results = LeaderRoutes(("a", "b", "c"), turn, REST), 0, []
    tried = routes.first(now)
    for step in (*steps.split(), None):
        results.append(tried.keeper + ">" * tried.hand_on)
        match step and tuple(step):
            case ("x",):
                tried = routes.unheard(now, tried)
            case ("-", hint):
                tried = routes.not_leader(now, tried, hint.replace("-", ""))
            case ("-", hint, by):
                tried = routes.not_leader(now, tried, hint.replace("-", ""), by)
            case ("!",):
                tried = routes.elsewhere(now, tried, "overloaded")
            case ("?",):
                tried = routes.elsewhere(now, tried, "stopping")
            case ("?", by):
                tried = routes.elsewhere(now, tried, "stopping", by)
            case ("=",):
                routes.answered(tried)
                tried = routes.first(now)
            case (by, ">"):
                routes.answered(tried, by)
                tried = routes.first(now)
            case ("+",):
                now += REST
                tried = routes.first(now)
    return results


@pytest.mark.parametrize(
    ("steps", "tries"),
    [
        ("= = =", "a a a a"),
        ("-c = =", "a c c c"),  # a hint is followed, and remembered
        ("x x x x", "a b c a b"),  # nobody is heard: in turn
        ("-- -- --", "a b c a"),
        ("-d -d", "a b c"),  # nobody is known to lead
        ("? ? ?", "a b c a"),
        ("! ! =", "a a a a"),  # it has to wait, wherever it asks
        ("-c x b>", "a c a> b"),  # b leads by now, and may be heard
        ("-c x c> c>", "a c a> a> a>"),  # by whoever handed on last
        ("-c x -c c> c>", "a c a> b> b> b>"),  # a can't reach it either, or knows no such wish
        ("-c x -c -- c>", "a c a> b> a> a>"),  # one that is cut off itself knows no better
        ("-c x -b =", "a c a> b b"),  # another leads, and is heard: straight
        ("-c x = =", "a c a> a a"),  # who was to hand on leads itself by now
        ("-c x c> x c>", "a c a> a> b> b>"),  # who handed on is gone
        ("-c x c> ? c>", "a c a> a> b> b>"),
        ("-c x c> ! c>", "a c a> a> a> a>"),
        ("-c x c> + =", "a c a> a> c c"),  # the leader itself is tried again, once in a while
        ("-c x c> + x c>", "a c a> a> c a> a>"),
        ("x -a c>", "a b b> c"),  # who knows it as leader is asked to hand on
        ("x -a a>", "a b b> b>"),
        ("x x -a a>", "a b c c> c>"),
        ("x x x -- =", "a b c a b b"),
        ("x -a x x", "a b b> c> a"),  # nobody to hand on is heard: the leader again
        ("-c x -bc", "a c a> b"),
        ("-c x --c =", "a c a> b b"),  # it says itself that it leads no more
        ("-c x ?c =", "a c a> b b"),
    ],
)
def test_the_next_keeper_to_ask(steps: str, tries: str) -> None:
    assert " ".join(played(steps)) == tries


def test_a_reachable_leader_is_asked_directly() -> None:
    routes = LeaderRoutes(("a", "b", "c"), 2, REST)
    routes.answered(Attempt("a"))
    routes.retry_at.update(b=REST, c=REST)
    assert [routes.first(0)] * 3 == [Attempt("a")] * 3


def test_threads_that_share_routes_always_find_a_keeper() -> None:
    routes, strange = LeaderRoutes(("a", "b", "c"), 0, REST), []

    def lane(seed: int) -> None:
        rng, now = Prng(seed), 0
        tried = routes.first(now)
        for _ in range(6000):
            now += rng.below(REST // 2)
            hint = ("", "a", "b", "c")[rng.below(4)]
            match rng.below(4):
                case 0:
                    tried = routes.unheard(now, tried)
                case 1:
                    tried = routes.not_leader(now, tried, hint)
                case 2:
                    tried = routes.elsewhere(now, tried, "stopping", hint)
                case 3:
                    routes.answered(tried, hint)
                    tried = routes.first(now)
            if tried.keeper not in routes.names:
                strange.append(tried)

    interval = sys.getswitchinterval()
    sys.setswitchinterval(1e-6)
    try:
        lanes = [threading.Thread(target=lane, args=(seed,)) for seed in range(3)]
        for thread in lanes:
            thread.start()
        for thread in lanes:
            thread.join()
    finally:
        sys.setswitchinterval(interval)
    assert strange == []
