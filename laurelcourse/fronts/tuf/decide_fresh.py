"""When a mirror is asked anew, who waits for it, and what may be given meanwhile. Pure."""

from typing import NamedTuple

from laurelcourse.prng import Prng

# What to do with one who asks for the newest metadata.
GIVE, BEGIN, JOIN, REFUSE = "give", "begin", "join", "refuse"
FEWEST_PAUSES, MOST_PAUSES = 1, 32  # pauses after refreshes that fail, as multiples of `ask_again`
MOST_EMPTY = 2  # likewise, while there is nothing to give meanwhile
COME_BACK_LEAST = 1_000_000  # the header that tells when to come back counts in seconds


class Bounds(NamedTuple):
    """Whole microseconds: `patience` is how long one who asks waits while something proven could be given."""

    ask_again: int
    serve_proven: int
    patience: int


class Freshness:
    """One repository's: the last proof, the refresh under way, the pause after one that failed.

    Ten thousand who ask at once share one refresh, and its failure too: until the pause is over nobody's
    asking makes another."""

    def __init__(self, bounds: Bounds, rng: Prng) -> None:
        self.bounds, self.rng = bounds, rng
        self.proven_at: int | None = None  # when a mirror last bore out what is held
        self.began: int | None = None
        self.pause = self.not_before = 0
        self.doubted = False

    def age(self, now: int) -> int:
        """Microseconds since what is held was last borne out."""
        return max(now - self.proven_at, 0) if self.proven_at is not None else 0

    def restored(self, at: int) -> None:
        """What was held before a restart was borne out then."""
        self.proven_at = at

    def doubt(self) -> None:
        """A mirror may be ahead of what is held: the next one who asks makes a refresh."""
        self.doubted = True

    def ask(self, now: int, usable: bool) -> str:
        """For one who asks for the newest: `usable` says that what is held has not expired."""
        lately = self.proven_at is not None and self.age(now) < self.bounds.ask_again
        if usable and lately and not self.doubted:
            return GIVE
        if self.began is not None:
            return JOIN
        if now >= self.not_before:
            return BEGIN
        return GIVE if self.may_serve(now, usable) else REFUSE

    def may_serve(self, now: int, usable: bool) -> bool:
        """Whether what is held may be given without a mirror's word, its age told."""
        return usable and self.proven_at is not None and self.age(now) <= self.bounds.serve_proven

    def waits_until(self, now: int, usable: bool, due: int) -> int:
        """How long one who joins waits: no longer than its patience when something could be given instead."""
        return min(due, now + self.bounds.patience) if self.may_serve(now, usable) else due

    def begin(self, now: int) -> None:
        self.began, self.doubted = now, False

    def ended(self, now: int, worked: bool, usable: bool = True) -> None:
        """A refresh is over: after one that failed the next waits ever longer, at each relay another time;
        not so long while nothing is `usable`, since all who ask are refused until then."""
        self.began = None
        if worked:
            self.proven_at, self.pause, self.not_before = now, 0, 0
            return
        many = MOST_PAUSES if usable else MOST_EMPTY
        least, most = self.bounds.ask_again * FEWEST_PAUSES, self.bounds.ask_again * many
        self.pause = min(max(2 * self.pause, least), most)
        self.not_before = now + self.pause // 2 + self.rng.below(max(self.pause // 2, 1))

    def come_back(self, now: int) -> int:
        """When one who was refused may ask again with some hope."""
        return max(self.not_before - now, COME_BACK_LEAST)
