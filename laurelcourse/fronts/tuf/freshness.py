"""Decides when a mirror is asked for newer metadata, who waits for it, and what is served meanwhile. Pure."""

from typing import NamedTuple

from laurelcourse.prng import Prng

# What to do with a request for the newest metadata.
SERVE = "give"
REFRESH = "begin"
JOIN = "join"  # wait for the refresh in progress
REFUSE = "refuse"

# The back-off after failed refreshes, in multiples of `ask_again`.
MIN_BACK_OFF_FACTOR = 1
MAX_BACK_OFF_FACTOR = 32
MAX_BACK_OFF_FACTOR_EMPTY = 2  # while nothing can be served

MIN_RETRY_AFTER_US = 1_000_000  # Retry-After counts in seconds


class FreshnessBounds(NamedTuple):
    """Times in microseconds."""

    ask_again: int  # for which metadata is served without asking a mirror
    serve_proven: int  # for which it is served while no mirror answers
    max_wait: int  # for a refresh, while something could be served


class Freshness:
    """The freshness of one repository: the last verification, the refresh in progress, the back-off.

    Any number of simultaneous requests share one refresh, and its failure too: until the back-off is over, no
    request starts another.
    """

    def __init__(self, bounds: FreshnessBounds, rng: Prng) -> None:
        self.bounds = bounds
        self.rng = rng
        self.verified_at: int | None = None  # when a mirror last confirmed the metadata held
        self.refresh_began: int | None = None
        self.back_off = 0
        self.not_before = 0  # of the next refresh
        self.may_be_outdated = False

    def age(self, now: int) -> int:
        """Returns the microseconds since the metadata held was last confirmed."""
        return max(now - self.verified_at, 0) if self.verified_at is not None else 0

    def restore(self, verified_at: int) -> None:
        """Sets when the metadata was confirmed that was held before a restart."""
        self.verified_at = verified_at

    def mark_outdated(self) -> None:
        """Has the next request start a refresh: a mirror may have newer metadata."""
        self.may_be_outdated = True

    def decide(self, now: int, is_usable: bool) -> str:
        """Decides about a request for the newest metadata. `is_usable`: the metadata held is not expired."""
        is_recent = self.verified_at is not None and self.age(now) < self.bounds.ask_again
        if is_usable and is_recent and not self.may_be_outdated:
            return SERVE
        if self.refresh_began is not None:
            return JOIN
        if now >= self.not_before:
            return REFRESH
        return SERVE if self.may_serve(now, is_usable) else REFUSE

    def may_serve(self, now: int, is_usable: bool) -> bool:
        """Returns whether the metadata held may be served, with its age, without asking a mirror."""
        return is_usable and self.verified_at is not None and self.age(now) <= self.bounds.serve_proven

    def wait_deadline(self, now: int, is_usable: bool, due: int) -> int:
        """Returns until when a request waits for a refresh: not long if something could be served instead."""
        return min(due, now + self.bounds.max_wait) if self.may_serve(now, is_usable) else due

    def begin(self, now: int) -> None:
        """A refresh begins."""
        self.refresh_began = now
        self.may_be_outdated = False

    def end(self, now: int, succeeded: bool, is_usable: bool = True) -> None:
        """A refresh has ended.

        After failures the next one waits ever longer, by a different time at each relay; not as long while
        nothing is usable, since all requests are refused until then.
        """
        self.refresh_began = None
        if succeeded:
            self.verified_at = now
            self.back_off = 0
            self.not_before = 0
            return
        max_factor = MAX_BACK_OFF_FACTOR if is_usable else MAX_BACK_OFF_FACTOR_EMPTY
        shortest = self.bounds.ask_again * MIN_BACK_OFF_FACTOR
        longest = self.bounds.ask_again * max_factor
        self.back_off = min(max(2 * self.back_off, shortest), longest)
        self.not_before = now + self.back_off // 2 + self.rng.below(max(self.back_off // 2, 1))

    def retry_after(self, now: int) -> int:
        """Returns after which time a refused client should try again."""
        return max(self.not_before - now, MIN_RETRY_AFTER_US)
