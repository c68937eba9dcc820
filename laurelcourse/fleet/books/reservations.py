"""Reservations for transfers: links and compute slots reserved together over time, all or nothing.

What is reserved of a resource is a step function over slices; each command is checked against the capacity of
every slice, in whole numbers. A job that ends, however it ends, leaves nothing reserved. Plans are not made
here: `transfers/plan.py` proposes them, and they are checked.
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
    FORGET_US,
    GRACE_US,
    HORIZON_SLICES,
    MAX_AMOUNT,
    MAX_CAPACITY_STEPS,
    MAX_ENDED_JOBS,
    MAX_JOB_PIECES,
    MAX_JOBS,
    MAX_LINKS,
    MAX_NUMBER,
    MAX_SITES,
    SLICE_US,
    JobRecord,
    Session,
    State,
    is_number,
    is_text,
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

LEADER_COMMANDS = (Places, Shrink, Recall)
SESSION_COMMANDS = (Reserve, Move, Resume, Progress, Commit, Free)

# States of a job, and which may follow.
RESERVED = "reserved"
RECALLED = "recalled"
ORPHAN = "orphan"
COMMITTED = "committed"
FREED = "freed"
EXPIRED = "expired"
END_STATES = (COMMITTED, FREED, EXPIRED)
NEXT_STATES = {
    RESERVED: (RESERVED, RECALLED, ORPHAN, *END_STATES),
    RECALLED: (RESERVED, ORPHAN, *END_STATES),
    ORPHAN: (RESERVED, EXPIRED),
}

SECOND_US = 1_000_000
MAX_QUOTED_CHARACTERS = 40  # of a number in an error

# Of each resource, by slice: how its usage changes from there on.
Usage = dict[str, dict[int, int]]


class JobView(NamedTuple):
    """A job as planners and relays see it."""

    job: Job
    owner: int  # a session; 0: it has ended
    pieces: tuple[Stretch, ...]
    proven: int  # bytes
    state: str


def link_name(origin: str, to: str) -> str:
    """Returns a link's name as a resource."""
    return f"{origin}>{to}"


# Commands of the leader


def apply_leader_command(state: State, command: Places | Shrink | Recall) -> tuple:
    """Applies a command and returns its value.

    Raises UnreadableError, CrowdedError, DefinitionRefusedError or NoSuchJobError.
    """
    match command:
        case Places():
            return _set_places(state, command)
        case Shrink():
            return _set_capacity(state, command)
    return _recall(state, command)


def _set_places(state: State, command: Places) -> tuple:
    if not (
        type(command.links) is tuple
        and type(command.sites) is tuple
        and all(type(link) is Link for link in command.links)
        and all(type(site) is Site for site in command.sites)
    ):
        raise UnreadableError("places", fault="links or sites")
    for held, at_most, of in (
        (len(command.links), MAX_LINKS, "links"),
        (len(command.sites), MAX_SITES, "sites"),
    ):
        if held > at_most:
            raise CrowdedError("places", held=held, at_most=at_most, of=of)
    sites = {
        site.name: site
        for site in command.sites
        if is_text(site.name) and ">" not in site.name and is_number(site.slots)
    }
    links = {
        link_name(link.origin, link.to): link
        for link in command.links
        if link.origin in sites
        and link.to in sites
        and link.origin != link.to
        and is_number(link.capacity)
        and is_number(link.kept, 0, link.capacity)
    }
    if len(sites) < len(command.sites) or len(links) < len(command.links):
        raise DefinitionRefusedError("places", fault="a link or site is twice there, or does not fit")
    transfers = state.transfers
    new = links | sites
    old = transfers.links | transfers.sites
    transfers.capacity_steps = {
        name: transfers.capacity_steps[name]
        for name in sorted(transfers.capacity_steps)
        if new.get(name) == old.get(name)
    }
    transfers.links = links
    transfers.sites = sites
    return ()


def _set_capacity(state: State, command: Shrink) -> tuple:
    transfers = state.transfers
    if not (is_text(command.resource) and is_number(command.capacity) and is_number(command.since)):
        raise UnreadableError("shrink", fault="resource, capacity or time")
    if command.resource not in transfers.links and command.resource not in transfers.sites:
        raise DefinitionRefusedError(command.resource, fault="no such link or site")
    for_reqs = transfers.links[command.resource].kept if command.resource in transfers.links else 0
    now = state.time // SLICE_US
    since = max(command.since, now)
    steps = [step for step in transfers.capacity_steps.get(command.resource, []) if step[0] < since]
    past = [step for step in steps if step[0] <= now]
    steps = past[-1:] + steps[len(past) :]
    if len(steps) >= MAX_CAPACITY_STEPS:
        raise CrowdedError(
            command.resource, held=len(steps), at_most=MAX_CAPACITY_STEPS, of="changes to come"
        )
    transfers.capacity_steps[command.resource] = [*steps, (since, max(0, command.capacity - for_reqs))]
    return ()


def _recall(state: State, command: Recall) -> tuple:
    """Returns the names of the jobs that were not recalled before: each is told once."""
    if (
        type(command.jobs) is not tuple
        or not all(is_text(name) for name in command.jobs)
        or len(command.jobs) > MAX_JOBS
    ):
        raise UnreadableError("recall", fault="jobs")
    recalled = []
    for name in sorted(set(command.jobs)):
        record = state.transfers.jobs.get(name)
        if record and record.state == ORPHAN:
            _set_pieces(state, record, ())
        elif record and record.state == RESERVED:
            _set_state(state, record, RECALLED)
            recalled.append(name)
    return tuple(recalled)


# Commands of sessions


def apply_session_command(
    state: State, session: Session, command: Reserve | Move | Resume | Progress | Commit | Free
) -> tuple:
    """Applies a command and returns its value.

    Raises UnreadableError, NoSuchJobError, JobHeldError, OutOfOrderError, PlanUnfitError, CapacityTakenError,
    LinkShrunkError or CrowdedError.
    """
    if type(command) is Reserve:
        return _reserve(state, session, command)
    record = _find_job(state, command.job)
    if type(command) is Resume:
        if record.state != ORPHAN:
            raise JobHeldError(command.job, session=record.owner)
        record.owner = session.fence.session
        _set_state(state, record, RESERVED)
        return (record.proven,)
    if record.owner != session.fence.session:
        raise JobHeldError(command.job, session=record.owner)
    match command:
        case Move(pieces=()):
            # Two jobs that must exchange their places can't both move first: each parks, then moves.
            if record.state != RECALLED:
                raise OutOfOrderError(command.job, state=record.state, order="park")
            _set_pieces(state, record, ())
            return (command.job,)
        case Move():
            _check_plan(state, record.job, command.pieces, record.proven, GRACE_US)
            _check_capacity(state, _usage(record.job, command.pieces), _usage(record.job, record.pieces))
            _set_pieces(state, record, command.pieces)
            _set_state(state, record, RESERVED)
            return (command.job,)
        case Progress():
            if not is_number(command.proven, record.proven, record.job.size):
                raise OutOfOrderError(
                    command.job,
                    state=f"proven {record.proven}",
                    order=f"{command.proven}"[:MAX_QUOTED_CHARACTERS],
                )
            record.proven = command.proven
            return (record.proven,)
        case Commit():
            if record.proven != record.job.size:
                raise OutOfOrderError(command.job, state=f"proven {record.proven}", order="commit")
            _set_state(state, record, COMMITTED)
            return (record.job.size,)
    _set_state(state, record, FREED)
    return (record.proven,)


def _find_job(state: State, name: str) -> JobRecord:
    if not is_text(name):
        raise UnreadableError("job", fault="name")
    if name not in state.transfers.jobs:
        raise NoSuchJobError(name, end=state.transfers.ended.get(name, ("", 0))[0])
    return state.transfers.jobs[name]


def _reserve(state: State, session: Session, command: Reserve) -> tuple:
    job = command.job
    transfers = state.transfers
    if not (
        type(job) is Job
        and all(is_text(text) for text in (job.name, job.firm, job.origin, job.to))
        and is_number(job.size, 1)
        and is_number(job.earnings)
        and is_number(job.slots)
        and is_number(job.earliest)
        and is_number(job.deadline)
    ):
        raise UnreadableError("reserve", fault="the job")
    if job.name in transfers.jobs:
        raise JobHeldError(job.name, session=transfers.jobs[job.name].owner)
    if job.name in transfers.ended:
        raise NoSuchJobError(job.name, end=transfers.ended[job.name][0])
    if len(transfers.jobs) >= MAX_JOBS:
        raise CrowdedError(job.name, held=len(transfers.jobs), at_most=MAX_JOBS, of="jobs")
    _check_plan(state, job, command.pieces, 0, 0)
    usage = _usage(job, command.pieces)
    for resource in sorted(usage):
        if is_over_reserved(state, resource):
            # A new job would take what the jobs that must move are to move to.
            capacity = _capacity_steps(state, resource)[-1][1]
            raise LinkShrunkError(resource, link=resource, capacity=capacity)
    _check_capacity(state, usage, {})
    record = transfers.jobs[job.name] = JobRecord(job, session.fence.session, (), 0, RESERVED)
    _set_pieces(state, record, command.pieces)
    transfers.next_end = min(transfers.next_end, job.deadline + GRACE_US)
    return (job.name,)


def _check_plan(state: State, job: Job, pieces: tuple[Stretch, ...], proven: int, grace: int) -> None:
    if (
        type(pieces) is not tuple
        or len(pieces) > MAX_JOB_PIECES
        or any(type(piece) is not Stretch for piece in pieces)
    ):
        raise PlanUnfitError(job.name, fault="its pieces")
    now = state.time // SLICE_US
    earliest = max(now, -(-job.earliest // SLICE_US))
    latest = min((job.deadline + grace) // SLICE_US, now + HORIZON_SLICES)
    carried = 0
    for piece in pieces:
        if not (
            is_number(piece.first, earliest)
            and is_number(piece.until, 0, latest)
            and piece.first < piece.until
            and is_number(piece.rate, 1)
        ):
            raise PlanUnfitError(job.name, fault="a time or rate out of bounds")
        if piece.way != (job.origin, job.to) or job.origin == job.to:
            # Streams connect the two sites directly: nobody would use reservations over a third one.
            raise PlanUnfitError(job.name, fault="a way that is not the direct link")
        carried += piece.rate * (piece.until - piece.first) * SLICE_US // SECOND_US
    if carried < job.size - proven:
        raise PlanUnfitError(job.name, fault=f"it carries {carried} of {job.size - proven} bytes")


# Capacity


def _usage(job: Job, pieces: tuple[Stretch, ...]) -> Usage:
    usage: Usage = {}

    def add(resource: str, first: int, until: int, amount: int) -> None:
        deltas = usage.setdefault(resource, {})
        deltas[first] = deltas.get(first, 0) + amount
        deltas[until] = deltas.get(until, 0) - amount

    for piece in pieces:
        for origin, to in zip(piece.way, piece.way[1:], strict=False):
            add(link_name(origin, to), piece.first, piece.until, piece.rate)
    end = 0
    for first, until in sorted((piece.first, piece.until) for piece in pieces):
        # Pieces that overlap in time take the slots once.
        if until > max(first, end) and job.slots:
            add(job.origin, max(first, end), until, job.slots)
            add(job.to, max(first, end), until, job.slots)
        end = max(end, until)
    return usage


def _check_capacity(state: State, new: Usage, old: Usage) -> None:
    """Checks that `new` fits in the place of `old`.

    Where a resource was over-reserved before, a plan may stay, as long as it takes no more there than it did.
    """
    for resource in sorted(new):
        capacity_steps = dict(_capacity_steps(state, resource))
        reserved_deltas = state.transfers.deltas.get(resource, {})
        new_deltas = new[resource]
        old_deltas = old.get(resource, {})
        capacity = reserved = gained = given = 0
        for at in sorted(
            capacity_steps.keys() | reserved_deltas.keys() | new_deltas.keys() | old_deltas.keys()
        ):
            capacity = capacity_steps.get(at, capacity)
            reserved += reserved_deltas.get(at, 0)
            gained += new_deltas.get(at, 0)
            given += old_deltas.get(at, 0)
            if gained > given and reserved - given + gained > capacity:
                raise CapacityTakenError(
                    resource, resource=resource, asked=gained, free=max(0, capacity - reserved + given)
                )


def _capacity_steps(state: State, resource: str) -> list[tuple[int, int]]:
    """Returns from which slice on how much may be reserved; nothing of what the settings don't name."""
    transfers = state.transfers
    if resource in transfers.links:
        capacity = transfers.links[resource].capacity - transfers.links[resource].kept
    else:
        capacity = transfers.sites[resource].slots if resource in transfers.sites else 0
    return [(0, capacity), *transfers.capacity_steps.get(resource, [])]


def _set_pieces(state: State, record: JobRecord, pieces: tuple[Stretch, ...]) -> None:
    """The one place where reservations change."""
    for usage, sign in ((_usage(record.job, record.pieces), -1), (_usage(record.job, pieces), 1)):
        for resource, changes in usage.items():
            deltas = state.transfers.deltas.setdefault(resource, {})
            for at, change in changes.items():
                deltas[at] = deltas.get(at, 0) + sign * change
                if not deltas[at]:
                    del deltas[at]
            if not deltas:
                del state.transfers.deltas[resource]
    record.pieces = pieces


def _set_state(state: State, record: JobRecord, to: str) -> None:
    """The one place where a job's state changes."""
    if to not in NEXT_STATES[record.state]:
        raise OutOfOrderError(record.job.name, state=record.state, order=to)
    record.state = to
    if to in END_STATES:
        transfers = state.transfers
        _set_pieces(state, record, ())
        del transfers.jobs[record.job.name]
        transfers.ended[record.job.name] = to, state.time
        transfers.next_end = min(transfers.next_end, state.time + FORGET_US)
        if len(transfers.ended) > MAX_ENDED_JOBS:
            del transfers.ended[next(iter(transfers.ended))]


def orphan_jobs(state: State, session: Session) -> None:
    """Has the jobs of a session that ends wait for another owner.

    They keep their reservations, but for recalled ones, whose bytes nobody sends any more.
    """
    for name in sorted(state.transfers.jobs):
        record = state.transfers.jobs[name]
        if record.owner == session.fence.session:
            if record.state == RECALLED:
                _set_pieces(state, record, ())
            record.owner = 0
            _set_state(state, record, ORPHAN)


def expire(state: State) -> None:
    """Ends jobs, and forgets ended ones, whose time is over by the state machine's time."""
    transfers = state.transfers
    if state.time < transfers.next_end:
        return
    for name in sorted(transfers.jobs):
        if transfers.jobs[name].job.deadline + GRACE_US <= state.time:
            _set_state(state, transfers.jobs[name], EXPIRED)
    transfers.ended = {name: end for name, end in transfers.ended.items() if end[1] + FORGET_US > state.time}
    _set_next_end(state)


def _set_next_end(state: State) -> None:
    transfers = state.transfers
    transfers.next_end = min(
        [
            MAX_NUMBER,
            *(record.job.deadline + GRACE_US for record in transfers.jobs.values()),
            *(at + FORGET_US for _, at in transfers.ended.values()),
        ]
    )


# Views for planners


def job_views(state: State) -> tuple[JobView, ...]:
    """Returns the jobs that have not ended, by name."""
    return tuple(
        JobView(record.job, record.owner, record.pieces, record.proven, record.state)
        for _, record in sorted(state.transfers.jobs.items())
    )


def resources(state: State) -> tuple[str, ...]:
    """Returns the names of all links and sites that are set or reserved."""
    transfers = state.transfers
    return tuple(sorted(transfers.links.keys() | transfers.sites.keys() | transfers.deltas.keys()))


def free_capacity(state: State, resource: str, first: int, until: int) -> tuple[int, ...]:
    """Returns what is free in each slice from `first` to before `until`; below 0 where over-reserved."""
    steps = _capacity_steps(state, resource)
    deltas = state.transfers.deltas.get(resource, {})
    capacities = dict(steps)
    capacity = [amount for at, amount in steps if at <= first][-1]
    reserved = sum(amount for at, amount in deltas.items() if at < first)
    free = []
    for at in range(first, min(until, first + HORIZON_SLICES)):
        capacity = capacities.get(at, capacity)
        reserved += deltas.get(at, 0)
        free.append(capacity - reserved)
    return tuple(free)


def is_over_reserved(state: State, resource: str) -> bool:
    """Returns whether more is reserved than there is, now or later."""
    capacities = dict(_capacity_steps(state, resource))
    deltas = state.transfers.deltas.get(resource, {})
    points = sorted(capacities.keys() | deltas.keys())
    now = state.time // SLICE_US
    capacity = reserved = 0
    for at, until in zip(points, [*points[1:], MAX_AMOUNT], strict=True):
        capacity = capacities.get(at, capacity)
        reserved += deltas.get(at, 0)
        if until > now and reserved > capacity:
            return True
    return False


# Serialization


def to_plain(state: State) -> list:
    """Returns the transfers as nested lists of ints and strings."""
    transfers = state.transfers
    jobs = [
        [
            list(record.job),
            record.owner,
            [[*piece[:3], list(piece.way)] for piece in record.pieces],
            record.proven,
            record.state,
        ]
        for _, record in sorted(transfers.jobs.items())
    ]
    return [
        [list(link) for link in transfers.links.values()],
        [list(site) for site in transfers.sites.values()],
        [
            [name, [list(step) for step in transfers.capacity_steps[name]]]
            for name in sorted(transfers.capacity_steps)
        ],
        jobs,
        [[name, *end] for name, end in transfers.ended.items()],
    ]


def restore(state: State, plain: list) -> None:
    """Sets what `to_plain` returned.

    Raises ValueError, TypeError, LookupError or AttributeError for anything else.
    """
    transfers = state.transfers
    links, sites, capacity_steps, jobs, ended = plain
    transfers.links = {link_name(link[0], link[1]): Link(*link) for link in links}
    transfers.sites = {site[0]: Site(*site) for site in sites}
    transfers.capacity_steps = {
        name: [(since, amount) for since, amount in steps] for name, steps in capacity_steps
    }
    transfers.ended = {name: (end_state, at) for name, end_state, at in ended}
    for job, owner, pieces, proven, job_state in jobs:
        if job_state not in NEXT_STATES:
            raise ValueError(f"a job is '{job_state}'")
        record = transfers.jobs[job[0]] = JobRecord(Job(*job), owner, (), proven, job_state)
        _set_pieces(state, record, tuple(Stretch(*piece[:3], tuple(piece[3])) for piece in pieces))
    _set_next_end(state)
