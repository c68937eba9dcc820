"""Plans for transfers: which jobs move, when, how fast. Pure: proposals, which the books check. All go by the
direct link: streams know no other way.

Time is cut into grains of whole slices. A plan is made greedily in several orders (earliest deadline first:
Jackson 1955; most earnings for what is taken: Dantzig 1957), the best by earnings is taken, and those left
out push out what earns less. Bytes, bytes a second, slots: whole numbers throughout.
"""

from collections.abc import Callable, Iterable
from itertools import pairwise
from typing import NamedTuple

from laurelcourse.fleet.books.forms import Job, Stretch
from laurelcourse.prng import Prng

MILLION = 1_000_000
BETTER = 1_100_000  # of a million: a new plan must earn so much more than the one that stands
TRIES = 64  # jobs left out for which room is sought by pushing others out
PUSHED = 3  # at most so many for one
ROUNDS = 200  # orders tried by chance, at most
FILLS = 20_000  # jobs placed anew in all of them, at most
IN_VAIN = 80  # so many that earn no more end the search


class Want(NamedTuple):
    """A job with what of it is still to move. `first` and `until`: grains within which it may move."""

    job: Job
    left: int
    first: int
    until: int


class Room(NamedTuple):
    """What is free in each grain of the time planned for, from slice `start` on. A grain has `grain` slices
    of `slice` microseconds; links are named `a>b`. What a link or site of no name here has is nothing."""

    start: int
    grain: int
    slice: int
    links: dict[str, tuple[int, ...]]
    sites: dict[str, tuple[int, ...]]

    def grains(self) -> int:
        return min((len(one) for one in (*self.links.values(), *self.sites.values())), default=0)

    def carries(self, rate: int) -> int:
        """Bytes in one grain."""
        return rate * self.grain * self.slice // MILLION

    def rate(self, size: int) -> int:
        """The least that carries so many bytes in one grain."""
        return -(-size * MILLION // (self.grain * self.slice))


Part = tuple[int, int, tuple[str, ...]]  # grain, rate, way
Plan = dict[str, tuple[Part, ...]]  # by job's name, those that move


def wanted(room: Room, job: Job, proven: int = 0) -> Want:
    long = room.grain * room.slice
    start = room.start * room.slice
    return Want(
        job,
        job.size - proven,
        max(0, -(-(job.earliest - start) // long)),
        min(room.grains(), max(0, (job.deadline - start) // long)),
    )


def links(way: tuple[str, ...]) -> list[str]:
    return [f"{origin}>{to}" for origin, to in pairwise(way)]


class Free:
    """What is still free while a plan is made."""

    __slots__ = ("links", "room", "sites")

    def __init__(self, room: Room) -> None:
        self.room = room
        self.links = {name: list(room.links[name]) for name in room.links}
        self.sites = {name: list(room.sites[name]) for name in room.sites}

    def put(self, job: Job, parts: Iterable[Part], sign: int = -1) -> None:
        """Takes it, or gives it back (sign 1). A link or site that the settings have lost takes no part."""
        grains = set()
        for grain, rate, way in parts:
            grains.add(grain)
            for link in links(way):
                if link in self.links:
                    self.links[link][grain] += sign * rate
        for grain in grains:
            for site in {job.origin, job.to} & self.sites.keys():
                self.sites[site][grain] += sign * job.slots

    def fit(self, want: Want, fullest: bool) -> tuple[Part, ...]:
        """Parts that carry all that is left, or none. As early as can be, or, `fullest`, in the grains where
        most can move, which takes compute slots for the shortest time."""
        job, room, way = want.job, self.room, (want.job.origin, want.job.to)
        link = self.links.get(f"{job.origin}>{job.to}")
        if want.left <= 0 or link is None or not {job.origin, job.to} <= self.sites.keys():
            return ()
        there, here = self.sites[job.origin], self.sites[job.to]
        found = [
            grain
            for grain in range(want.first, want.until)
            if link[grain] > 0 and min(there[grain], here[grain]) >= job.slots
        ]
        if fullest:
            found.sort(key=lambda grain: (-link[grain], grain))
        parts, left = [], want.left
        for grain in found:
            rate = min(link[grain], room.rate(left))
            left -= room.carries(rate)
            parts.append((grain, rate, way))
            if left <= 0:
                return tuple(sorted(parts))
        return ()


def earned(wants: Iterable[Want], plan: Plan) -> int:
    return sum(want.job.earnings for want in wants if want.job.name in plan)


def _by_deadline(want: Want) -> tuple:
    return want.until, -want.job.earnings * MILLION // want.left, want.job.name


def _by_bytes(want: Want) -> tuple:
    return -want.job.earnings * MILLION // want.left, want.until, want.job.name


def _by_earnings(want: Want) -> tuple:
    return -want.job.earnings, want.until, want.job.name


def _by_slots(want: Want) -> tuple:
    """Earnings for bytes and slots taken together: where compute is short, bytes alone mislead."""
    return -want.job.earnings * MILLION // (want.left * (1 + want.job.slots)), want.until, want.job.name


def _by_asking(want: Want) -> tuple:
    return want.job.earliest, want.job.name


ORDERS: tuple[Callable[[Want], tuple], ...] = (_by_deadline, _by_bytes, _by_earnings, _by_slots)


def _filled(room: Room, wants: Iterable[Want], fullest: bool) -> tuple[Plan, Free]:
    free, plan = Free(room), {}
    for want in wants:
        parts = free.fit(want, fullest)
        if parts:
            free.put(want.job, parts)
            plan[want.job.name] = parts
    return plan, free


def first_come(room: Room, wants: Iterable[Want]) -> Plan:
    """What no planning would do: in the order asked, as early as can be. For comparison."""
    return _filled(room, sorted(wants, key=_by_asking), False)[0]


def planned(room: Room, wants: Iterable[Want], likely: dict[str, int] | None = None) -> Plan:
    """The plan that earns most of those tried; what is left over is named in none. `likely`: by name, how far
    each job belongs to a good plan, as a solver told; one more order to try."""
    wants = [want for want in wants if want.left > 0]
    orders = list(ORDERS)
    if likely:
        orders.append(lambda want: (-likely.get(want.job.name, 0), want.until, want.job.name))
    best: tuple[int, Plan, Free, bool, list[Want]] | None = None
    for order in orders:
        for fullest in (False, True):
            queue = sorted(wants, key=order)
            plan, free = _filled(room, queue, fullest)
            if best is None or earned(wants, plan) > best[0]:
                best = earned(wants, plan), plan, free, fullest, queue
    most, plan, free, fullest, queue = best
    rng, without = Prng(len(wants)), 0
    for _ in range(min(ROUNDS, FILLS // max(1, len(wants)))):
        out = [place for place, want in enumerate(queue) if want.job.name not in plan]
        if not out or without == IN_VAIN:
            break
        # Who was left out comes nearer to the front (squeaky wheels: Joslin, Clements 1999).
        tried, place = list(queue), out[rng.below(len(out))]
        tried.insert(rng.below(place + 1), tried.pop(place))
        other, left = _filled(room, tried, fullest)
        without += 1
        if earned(wants, other) >= most:
            without = 0 if earned(wants, other) > most else without
            most, plan, free, queue = earned(wants, other), other, left, tried
    return _pushed(plan, free, wants, fullest)


def _pushed(plan: Plan, free: Free, wants: list[Want], fullest: bool) -> Plan:
    """Those left out that earn most take the room of a few that earn less together."""
    by_name = {want.job.name: want for want in wants}
    for want in sorted((one for one in wants if one.job.name not in plan), key=_by_earnings)[:TRIES]:
        job = want.job
        near = {job.origin, job.to}
        others = sorted(
            (
                by_name[name]
                for name in plan
                if by_name[name].job.earnings < job.earnings
                and near & {by_name[name].job.origin, by_name[name].job.to}
            ),
            key=lambda one: (one.job.earnings, one.job.name),
        )
        out, lost = [], 0
        parts = free.fit(want, fullest)
        for other in others:
            if parts or len(out) == PUSHED or lost + other.job.earnings >= job.earnings:
                break
            out.append((other, plan.pop(other.job.name)))
            free.put(other.job, out[-1][1], 1)
            lost += other.job.earnings
            parts = free.fit(want, fullest)
        if parts:
            plan[job.name] = parts
            free.put(job, parts)
        for other, before in out:
            again = free.fit(other, fullest) if parts else before
            if again:
                plan[other.job.name] = again
                free.put(other.job, again)
    return plan


def stretches(room: Room, parts: Iterable[Part]) -> tuple[Stretch, ...]:
    """As the books take them: neighbours in time of one rate and way are one."""
    made: list[Stretch] = []
    for grain, rate, way in sorted(parts, key=lambda one: (one[2], one[0])):
        first = room.start + grain * room.grain
        if made and (made[-1].until, made[-1].rate, made[-1].way) == (first, rate, way):
            made[-1] = made[-1]._replace(until=first + room.grain)
        else:
            made.append(Stretch(first, first + room.grain, rate, way))
    return tuple(sorted(made))


class Held(NamedTuple):
    """A job that has a plan. `told`: it was told to move before and has not done so yet. `untold`: bytes that
    its plan has carried of late, of which the far end's word may not have come yet."""

    want: Want
    parts: tuple[Part, ...]
    told: bool
    untold: int = 0


def seen(
    names: Iterable[str],
    free: Callable[[str, int, int], tuple[int, ...]],
    start: int,
    grain: int,
    slice_us: int,
    grains: int,
) -> Room:
    """The room that books tell of (`Books.resources`, `Books.room`): each grain has its narrowest slice's.
    `start` is a multiple of `grain`, so that plans made at different times have the same grains."""
    found = {}
    for name in names:
        slices = free(name, start, start + grain * grains)
        found[name] = tuple(min(slices[at : at + grain]) for at in range(0, grain * grains, grain))
    return Room(
        start,
        grain,
        slice_us,
        {name: one for name, one in found.items() if ">" in name},
        {name: one for name, one in found.items() if ">" not in name},
    )


def held(
    room: Room,
    job: Job,
    proven: int,
    pieces: Iterable[Stretch],
    now: int,
    told: bool,
    since: int | None = None,
) -> Held:
    """A job as the books have it. What it moves from slice `now` to the room's start is taken as moved; what
    it moved from slice `since` to `now` may not be told yet."""
    soon, untold, parts = 0, 0, []
    for one in pieces:
        soon += one.rate * max(0, min(one.until, room.start) - max(one.first, now)) * room.slice // MILLION
        if since is not None:
            untold += one.rate * max(0, min(one.until, now) - max(one.first, since)) * room.slice // MILLION
        first = max(one.first, room.start) - room.start
        until = min(one.until - room.start, room.grains() * room.grain)
        parts += [(at, one.rate, one.way) for at in range(first // room.grain, -(-until // room.grain))]
    want = wanted(room, job, proven)
    return Held(want._replace(left=max(0, want.left - soon)), tuple(sorted(parts)), told, untold)


def whole(room: Room, there: Iterable[Held]) -> Room:
    """The room as it is without these jobs, as `replanned` takes it."""
    free = Free(room)
    for one in there:
        free.put(one.want.job, one.parts, 1)
    return room._replace(
        links={name: tuple(free.links[name]) for name in free.links},
        sites={name: tuple(free.sites[name]) for name in free.sites},
    )


class Changes(NamedTuple):
    """`recall`: jobs to be told now, each once; they park. `plan`: new parts by name, for newcomers and those
    told; one told before that has none is to be freed. Parts that the books refuse wait for who must park."""

    recall: tuple[str, ...]
    plan: Plan


def replanned(room: Room, held: tuple[Held, ...], new: tuple[Want, ...]) -> Changes:
    """Room: all that there is for transfers, of which `held` take part. Those whose plans fit stay as they
    are; where too much is taken, or a plan carries too little, those that earn least are moved, or let go. A
    newcomer pushes out a few that earn less, and only where all together earns BETTER than what stands: plans
    don't swing."""
    free, stay, moved = Free(room), [], []
    for one in sorted(held, key=lambda one: _by_earnings(one.want)):
        if not one.told and _carried(room, one) and _fits(free, one):
            free.put(one.want.job, one.parts)
            stay.append(one)
        else:
            moved.append(one)
    plan: Plan = {}
    for want in [one.want for one in moved] + sorted(new, key=_by_bytes):
        parts = free.fit(want, False)
        if parts:
            free.put(want.job, parts)
            plan[want.job.name] = parts
    stands = {one.want.job.name: one.parts for one in stay} | plan
    wants = [one.want for one in held] + list(new)
    # A whole plan made anew earns little more than this and moves nearly all: most would wait or be late.
    anew = _pushed(dict(stands), free, wants, False) if len(stands) < len(wants) else stands
    told = {one.want.job.name for one in held if one.told}
    if earned(wants, anew) * MILLION > earned(wants, stands) * BETTER:
        before = {one.want.job.name: one.parts for one in stay}
        plan = {name: parts for name, parts in sorted(anew.items()) if before.get(name) != parts}
        return Changes(
            tuple(
                sorted(
                    one.want.job.name
                    for one in held
                    if one.want.job.name not in told and anew.get(one.want.job.name) != one.parts
                )
            ),
            plan,
        )
    return Changes(tuple(sorted(one.want.job.name for one in moved if one.want.job.name not in told)), plan)


def _carried(room: Room, one: Held) -> bool:
    return sum(room.carries(rate) for _, rate, _ in one.parts) >= one.want.left - one.untold


def _fits(free: Free, one: Held) -> bool:
    job = one.want.job
    if any(link not in free.links for _, _, way in one.parts for link in links(way)) or not (
        job.origin in free.sites and job.to in free.sites
    ):
        return False
    free.put(job, one.parts)
    fits = all(free.links[link][grain] >= 0 for grain, _, way in one.parts for link in links(way)) and all(
        min(free.sites[job.origin][grain], free.sites[job.to][grain]) >= 0 for grain, _, _ in one.parts
    )
    free.put(job, one.parts, 1)
    return fits
