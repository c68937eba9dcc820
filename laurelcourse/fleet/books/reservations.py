"""Transfers in the books: links and compute slots reserved together over time, all or nothing.

What is reserved of a resource is a step function over slices; each command is held against the whole at
every one of them, in whole numbers. A job that ends, however it ends, leaves nothing reserved. The books make
no plans: `transfers/plan.py` proposes, they check.
"""

from typing import NamedTuple

from laurelcourse.fleet.books.forms import (
    Commit,
    Free,
    Job,
    Link,
    Move,
    Places,
    Progress,
    Recall,
    Reserve,
    Resume,
    Shrink,
    Site,
    Stretch,
)
from laurelcourse.fleet.books.state import (
    AMOUNT,
    ENDED,
    FORGET,
    GRACE,
    HORIZON,
    JOB_PIECES,
    JOBS,
    LINKS,
    NUMBER,
    SITES,
    SLICE,
    STEPS,
    Booked,
    Session,
    State,
    number,
    text,
)
from laurelcourse.fleet.errors import (
    CapacityTakenError,
    CrowdedError,
    DefinitionRefusedError,
    JobHeldError,
    LinkShrunkError,
    NoSuchJobError,
    OutOfOrderError,
    PlanUnfitError,
    UnreadableError,
)

FROM_LEADER, FROM_SESSION = (Places, Shrink, Recall), (Reserve, Move, Resume, Progress, Commit, Free)

RESERVED, RECALLED, ORPHAN = "reserved", "recalled", "orphan"
COMMITTED, FREED, EXPIRED = "committed", "freed", "expired"
ENDS = (COMMITTED, FREED, EXPIRED)
TURNS = {
    RESERVED: (RESERVED, RECALLED, ORPHAN, *ENDS),
    RECALLED: (RESERVED, ORPHAN, *ENDS),
    ORPHAN: (RESERVED, EXPIRED),
}
Use = dict[str, dict[int, int]]  # of each resource: by slice, how much more or less from there on


class Kept(NamedTuple):
    """A job as those who plan see it."""

    job: Job
    owner: int
    pieces: tuple[Stretch, ...]
    proven: int
    state: str


def named(origin: str, to: str) -> str:
    """A link's name as a resource."""
    return f"{origin}>{to}"


def lead(state: State, what: Places | Shrink | Recall) -> tuple:
    """Raises UnreadableError, CrowdedError, DefinitionRefusedError, NoSuchJobError."""
    match what:
        case Places():
            return _places(state, what)
        case Shrink():
            return _shrink(state, what)
    return _recall(state, what)


def _places(state: State, what: Places) -> tuple:
    if not (
        type(what.links) is tuple
        and type(what.sites) is tuple
        and all(type(one) is Link for one in what.links)
        and all(type(one) is Site for one in what.sites)
    ):
        raise UnreadableError("places", fault="links or sites")
    for held, at_most, of in ((len(what.links), LINKS, "links"), (len(what.sites), SITES, "sites")):
        if held > at_most:
            raise CrowdedError("places", held=held, at_most=at_most, of=of)
    sites = {
        one.name: one for one in what.sites if text(one.name) and ">" not in one.name and number(one.slots)
    }
    links = {
        named(one.origin, one.to): one
        for one in what.links
        if one.origin in sites
        and one.to in sites
        and one.origin != one.to
        and number(one.capacity)
        and number(one.kept, 0, one.capacity)
    }
    if len(sites) < len(what.sites) or len(links) < len(what.links):
        raise DefinitionRefusedError("places", fault="a link or site is twice there, or does not fit")
    moves = state.transfers
    new, old = links | sites, moves.links | moves.sites
    moves.steps = {one: moves.steps[one] for one in sorted(moves.steps) if new.get(one) == old.get(one)}
    moves.links, moves.sites = links, sites
    return ()


def _shrink(state: State, what: Shrink) -> tuple:
    moves = state.transfers
    if not (text(what.resource) and number(what.capacity) and number(what.since)):
        raise UnreadableError("shrink", fault="resource, capacity or time")
    if what.resource not in moves.links and what.resource not in moves.sites:
        raise DefinitionRefusedError(what.resource, fault="no such link or site")
    kept = moves.links[what.resource].kept if what.resource in moves.links else 0
    since = max(what.since, state.time // SLICE)
    steps = [one for one in moves.steps.get(what.resource, []) if one[0] < since]
    past = [one for one in steps if one[0] <= state.time // SLICE]
    steps = past[-1:] + steps[len(past) :]
    if len(steps) >= STEPS:
        raise CrowdedError(what.resource, held=len(steps), at_most=STEPS, of="changes to come")
    moves.steps[what.resource] = [*steps, (since, max(0, what.capacity - kept))]
    return ()


def _recall(state: State, what: Recall) -> tuple:
    """Names those that had not been told before: each is told once."""
    if type(what.jobs) is not tuple or not all(text(one) for one in what.jobs) or len(what.jobs) > JOBS:
        raise UnreadableError("recall", fault="jobs")
    told = []
    for name in sorted(set(what.jobs)):
        there = state.transfers.jobs.get(name)
        if there and there.state == ORPHAN:
            _book(state, there, ())
        elif there and there.state == RESERVED:
            _turn(state, there, RECALLED)
            told.append(name)
    return tuple(told)


def ask(state: State, session: Session, what: Reserve | Move | Resume | Progress | Commit | Free) -> tuple:
    """Raises UnreadableError, NoSuchJobError, JobHeldError, OutOfOrderError, PlanUnfitError,
    CapacityTakenError, LinkShrunkError, CrowdedError."""
    if type(what) is Reserve:
        return _reserve(state, session, what)
    there = _found(state, what.job)
    if type(what) is Resume:
        if there.state != ORPHAN:
            raise JobHeldError(what.job, session=there.owner)
        there.owner = session.fence.session
        _turn(state, there, RESERVED)
        return (there.proven,)
    if there.owner != session.fence.session:
        raise JobHeldError(what.job, session=there.owner)
    match what:
        case Move(pieces=()):
            # Two that must change places can't both move first: each parks, then moves.
            if there.state != RECALLED:
                raise OutOfOrderError(what.job, state=there.state, order="park")
            _book(state, there, ())
            return (what.job,)
        case Move():
            _check_plan(state, there.job, what.pieces, there.proven, GRACE)
            _check_room(state, _uses(there.job, what.pieces), _uses(there.job, there.pieces))
            _book(state, there, what.pieces)
            _turn(state, there, RESERVED)
            return (what.job,)
        case Progress():
            if not number(what.proven, there.proven, there.job.size):
                raise OutOfOrderError(what.job, state=f"proven {there.proven}", order=f"{what.proven}"[:40])
            there.proven = what.proven
            return (there.proven,)
        case Commit():
            if there.proven != there.job.size:
                raise OutOfOrderError(what.job, state=f"proven {there.proven}", order="commit")
            _turn(state, there, COMMITTED)
            return (there.job.size,)
    _turn(state, there, FREED)
    return (there.proven,)


def _found(state: State, name: str) -> Booked:
    if not text(name):
        raise UnreadableError("job", fault="name")
    if name not in state.transfers.jobs:
        raise NoSuchJobError(name, end=state.transfers.ended.get(name, ("", 0))[0])
    return state.transfers.jobs[name]


def _reserve(state: State, session: Session, what: Reserve) -> tuple:
    job, moves = what.job, state.transfers
    if not (
        type(job) is Job
        and all(text(one) for one in (job.name, job.firm, job.origin, job.to))
        and number(job.size, 1)
        and number(job.earnings)
        and number(job.slots)
        and number(job.earliest)
        and number(job.deadline)
    ):
        raise UnreadableError("reserve", fault="the job")
    if job.name in moves.jobs:
        raise JobHeldError(job.name, session=moves.jobs[job.name].owner)
    if job.name in moves.ended:
        raise NoSuchJobError(job.name, end=moves.ended[job.name][0])
    if len(moves.jobs) >= JOBS:
        raise CrowdedError(job.name, held=len(moves.jobs), at_most=JOBS, of="jobs")
    _check_plan(state, job, what.pieces, 0, 0)
    uses = _uses(job, what.pieces)
    for resource in sorted(uses):
        if is_over(state, resource):
            # A newcomer would take what those that must move are to move to.
            raise LinkShrunkError(resource, link=resource, capacity=_usable(state, resource)[-1][1])
    _check_room(state, uses, {})
    there = moves.jobs[job.name] = Booked(job, session.fence.session, (), 0, RESERVED)
    _book(state, there, what.pieces)
    moves.next_end = min(moves.next_end, job.deadline + GRACE)
    return (job.name,)


def _check_plan(state: State, job: Job, pieces: tuple[Stretch, ...], proven: int, grace: int) -> None:
    if (
        type(pieces) is not tuple
        or len(pieces) > JOB_PIECES
        or any(type(one) is not Stretch for one in pieces)
    ):
        raise PlanUnfitError(job.name, fault="its pieces")
    now, carried = state.time // SLICE, 0
    least, most = max(now, -(-job.earliest // SLICE)), min((job.deadline + grace) // SLICE, now + HORIZON)
    for one in pieces:
        if not (
            number(one.first, least)
            and number(one.until, 0, most)
            and one.first < one.until
            and number(one.rate, 1)
        ):
            raise PlanUnfitError(job.name, fault="a time or rate out of bounds")
        if one.way != (job.origin, job.to) or job.origin == job.to:
            # Streams go from door to door: what is reserved over a third site would be nobody's bytes.
            raise PlanUnfitError(job.name, fault="a way that is not the direct link")
        carried += one.rate * (one.until - one.first) * SLICE // 1_000_000
    if carried < job.size - proven:
        raise PlanUnfitError(job.name, fault=f"it carries {carried} of {job.size - proven} bytes")


def _uses(job: Job, pieces: tuple[Stretch, ...]) -> Use:
    uses: Use = {}

    def add(resource: str, first: int, until: int, amount: int) -> None:
        there = uses.setdefault(resource, {})
        there[first] = there.get(first, 0) + amount
        there[until] = there.get(until, 0) - amount

    for one in pieces:
        for origin, to in zip(one.way, one.way[1:], strict=False):
            add(named(origin, to), one.first, one.until, one.rate)
    end = 0
    for first, until in sorted((one.first, one.until) for one in pieces):
        # Two ways at the same time take the slots once.
        if until > max(first, end) and job.slots:
            add(job.origin, max(first, end), until, job.slots)
            add(job.to, max(first, end), until, job.slots)
        end = max(end, until)
    return uses


def _check_room(state: State, new: Use, old: Use) -> None:
    """A plan may stay over where it was over before, if it takes no more there than it did."""
    for resource in sorted(new):
        caps, base = dict(_usable(state, resource)), state.transfers.deltas.get(resource, {})
        gains, gives = new[resource], old.get(resource, {})
        usable = total = more = less = 0
        for at in sorted(caps.keys() | base.keys() | gains.keys() | gives.keys()):
            usable = caps.get(at, usable)
            total, more = total + base.get(at, 0), more + gains.get(at, 0)
            less += gives.get(at, 0)
            if more > less and total - less + more > usable:
                raise CapacityTakenError(
                    resource, resource=resource, asked=more, free=max(0, usable - total + less)
                )


def _usable(state: State, resource: str) -> list[tuple[int, int]]:
    """From which slice on how much may be reserved; nothing of what the settings don't name."""
    moves = state.transfers
    if resource in moves.links:
        first = moves.links[resource].capacity - moves.links[resource].kept
    else:
        first = moves.sites[resource].slots if resource in moves.sites else 0
    return [(0, first), *moves.steps.get(resource, [])]


def _book(state: State, there: Booked, pieces: tuple[Stretch, ...]) -> None:
    """The one place where what is reserved changes."""
    for uses, sign in ((_uses(there.job, there.pieces), -1), (_uses(there.job, pieces), 1)):
        for resource, deltas in uses.items():
            kept = state.transfers.deltas.setdefault(resource, {})
            for at, delta in deltas.items():
                kept[at] = kept.get(at, 0) + sign * delta
                if not kept[at]:
                    del kept[at]
            if not kept:
                del state.transfers.deltas[resource]
    there.pieces = pieces


def _turn(state: State, there: Booked, to: str) -> None:
    """The one place where a job's state changes."""
    if to not in TURNS[there.state]:
        raise OutOfOrderError(there.job.name, state=there.state, order=to)
    there.state = to
    if to in ENDS:
        moves = state.transfers
        _book(state, there, ())
        del moves.jobs[there.job.name]
        moves.ended[there.job.name] = to, state.time
        moves.next_end = min(moves.next_end, state.time + FORGET)
        if len(moves.ended) > ENDED:
            del moves.ended[next(iter(moves.ended))]


def orphan(state: State, session: Session) -> None:
    """A session is over: its jobs wait for another owner with what they have, but one that was to let go has
    nothing any more, for nobody sends it."""
    for name in sorted(state.transfers.jobs):
        there = state.transfers.jobs[name]
        if there.owner == session.fence.session:
            if there.state == RECALLED:
                _book(state, there, ())
            there.owner = 0
            _turn(state, there, ORPHAN)


def free(state: State) -> None:
    """Jobs end by themselves, and outcomes are forgotten, when the books' time has come to it."""
    moves = state.transfers
    if state.time < moves.next_end:
        return
    for name in sorted(moves.jobs):
        if moves.jobs[name].job.deadline + GRACE <= state.time:
            _turn(state, moves.jobs[name], EXPIRED)
    moves.ended = {name: end for name, end in moves.ended.items() if end[1] + FORGET > state.time}
    _set_next_end(state)


def _set_next_end(state: State) -> None:
    moves = state.transfers
    moves.next_end = min(
        [
            NUMBER,
            *(one.job.deadline + GRACE for one in moves.jobs.values()),
            *(at + FORGET for _, at in moves.ended.values()),
        ]
    )


# What those who plan look at


def kept(state: State) -> tuple[Kept, ...]:
    return tuple(
        Kept(one.job, one.owner, one.pieces, one.proven, one.state)
        for _, one in sorted(state.transfers.jobs.items())
    )


def resources(state: State) -> tuple[str, ...]:
    moves = state.transfers
    return tuple(sorted(moves.links.keys() | moves.sites.keys() | moves.deltas.keys()))


def room(state: State, resource: str, first: int, until: int) -> tuple[int, ...]:
    caps, base = _usable(state, resource), state.transfers.deltas.get(resource, {})
    steps = dict(caps)
    usable = [amount for at, amount in caps if at <= first][-1]
    total = sum(amount for at, amount in base.items() if at < first)
    found = []
    for at in range(first, min(until, first + HORIZON)):
        usable, total = steps.get(at, usable), total + base.get(at, 0)
        found.append(usable - total)
    return tuple(found)


def is_over(state: State, resource: str) -> bool:
    """Whether more is reserved than there is, now or later."""
    caps, base = dict(_usable(state, resource)), state.transfers.deltas.get(resource, {})
    points, now = sorted(caps.keys() | base.keys()), state.time // SLICE
    usable = total = 0
    for at, until in zip(points, [*points[1:], AMOUNT], strict=True):
        usable, total = caps.get(at, usable), total + base.get(at, 0)
        if until > now and total > usable:
            return True
    return False


# As it goes from one keeper to another


def plain(state: State) -> list:
    moves = state.transfers
    jobs = [
        [
            list(one.job),
            one.owner,
            [[*piece[:3], list(piece.way)] for piece in one.pieces],
            one.proven,
            one.state,
        ]
        for _, one in sorted(moves.jobs.items())
    ]
    return [
        [list(one) for one in moves.links.values()],
        [list(one) for one in moves.sites.values()],
        [[name, [list(one) for one in moves.steps[name]]] for name in sorted(moves.steps)],
        jobs,
        [[name, *end] for name, end in moves.ended.items()],
    ]


def read(state: State, written: list) -> None:
    """Raises ValueError, TypeError, LookupError or AttributeError for what was not written by `plain`."""
    moves = state.transfers
    links, sites, steps, jobs, ended = written
    moves.links = {named(one[0], one[1]): Link(*one) for one in links}
    moves.sites = {one[0]: Site(*one) for one in sites}
    moves.steps = {name: [(since, amount) for since, amount in there] for name, there in steps}
    moves.ended = {name: (how, at) for name, how, at in ended}
    for job, owner, pieces, proven, how in jobs:
        if how not in TURNS:
            raise ValueError(f"a job is '{how}'")
        there = moves.jobs[job[0]] = Booked(Job(*job), owner, (), proven, how)
        _book(state, there, tuple(Stretch(*piece[:3], tuple(piece[3])) for piece in pieces))
    _set_next_end(state)
