"""Plans transfers: which jobs move, when, and how fast. Pure: plans are proposals for the state machine.

All paths are direct links, as streams know no others. Time is divided into grains of whole slices. Plans are
made greedily in several orders (earliest deadline first: Jackson 1955; most earnings for what is used:
Dantzig 1957); the one with the highest earnings is taken, and jobs left out displace those that earn less.
Bytes, bytes a second and slots are whole numbers throughout.
"""

from collections.abc import Callable, Iterable
from itertools import pairwise
from typing import NamedTuple

from laurelcourse.fleet.books.forms import Job, Stretch
from laurelcourse.prng import Prng

MILLION = 1_000_000
SECOND_US = 1_000_000

# A new plan replaces the current one only if it earns so many millionths of it.
MIN_GAIN_PPM = 1_100_000

MAX_DISPLACING = 64  # jobs left out for which others may be displaced
MAX_DISPLACED = 3  # by one of them

# Bounds of the random search for a better order.
MAX_ROUNDS = 200
MAX_PLACEMENTS = 20_000  # of jobs, in all rounds together
MAX_ROUNDS_WITHOUT_GAIN = 80


class JobRequest(NamedTuple):
    """What is left of a job to plan, and the grains within which it may move."""

    job: Job
    size_left: int  # bytes
    first: int  # grain
    until: int  # grain after the last one


class Capacity(NamedTuple):
    """What is free in each grain from `start` on. A link or site without a name here has no capacity."""

    start: int  # slice
    grain: int  # slices per grain
    slice: int  # microseconds per slice
    links: dict[str, tuple[int, ...]]  # by `a>b`: bytes a second
    sites: dict[str, tuple[int, ...]]  # slots

    def grain_count(self) -> int:
        """Returns the number of grains."""
        return min((len(free) for free in (*self.links.values(), *self.sites.values())), default=0)

    def bytes_in_grain(self, rate: int) -> int:
        """Returns the bytes that a rate carries in one grain."""
        return rate * self.grain * self.slice // SECOND_US

    def rate_for(self, size: int) -> int:
        """Returns the least rate that carries so many bytes in one grain."""
        return -(-size * SECOND_US // (self.grain * self.slice))


class Part(NamedTuple):
    """What of a job moves in one grain."""

    grain: int
    rate: int  # bytes a second
    path: tuple[str, ...]  # sites


Plan = dict[str, tuple[Part, ...]]  # by name, of the jobs that move


def job_request(capacity: Capacity, job: Job, proven: int = 0) -> JobRequest:
    """Returns what is left of a job of which `proven` bytes have arrived."""
    grain_us = capacity.grain * capacity.slice
    start_us = capacity.start * capacity.slice
    return JobRequest(
        job,
        job.size - proven,
        max(0, -(-(job.earliest - start_us) // grain_us)),
        min(capacity.grain_count(), max(0, (job.deadline - start_us) // grain_us)),
    )


def link_names(path: tuple[str, ...]) -> list[str]:
    """Returns the names of a path's links."""
    return [f"{origin}>{to}" for origin, to in pairwise(path)]


class FreeCapacity:
    """What is still free while a plan is made."""

    __slots__ = ("capacity", "links", "sites")

    def __init__(self, capacity: Capacity) -> None:
        self.capacity = capacity
        self.links = {name: list(capacity.links[name]) for name in capacity.links}
        self.sites = {name: list(capacity.sites[name]) for name in capacity.sites}

    def take(self, job: Job, parts: Iterable[Part]) -> None:
        """Takes the capacity of these parts of a job."""
        self._change(job, parts, -1)

    def give_back(self, job: Job, parts: Iterable[Part]) -> None:
        """Gives the capacity of these parts of a job back."""
        self._change(job, parts, 1)

    def _change(self, job: Job, parts: Iterable[Part], sign: int) -> None:
        """Links and sites that are no longer in the settings are skipped."""
        grains = set()
        for grain, rate, path in parts:
            grains.add(grain)
            for link in link_names(path):
                if link in self.links:
                    self.links[link][grain] += sign * rate
        for grain in grains:
            for site in {job.origin, job.to} & self.sites.keys():
                self.sites[site][grain] += sign * job.slots

    def fit(self, request: JobRequest, largest_first: bool) -> tuple[Part, ...]:
        """Returns parts that carry all that is left, or none.

        They are as early as possible or, with `largest_first`, in the grains with the most free capacity,
        which takes compute slots for the shortest time.
        """
        job = request.job
        path = (job.origin, job.to)
        link = self.links.get(f"{job.origin}>{job.to}")
        if request.size_left <= 0 or link is None or not {job.origin, job.to} <= self.sites.keys():
            return ()
        slots_at_origin, slots_at_target = self.sites[job.origin], self.sites[job.to]
        usable = [
            grain
            for grain in range(request.first, request.until)
            if link[grain] > 0 and min(slots_at_origin[grain], slots_at_target[grain]) >= job.slots
        ]
        if largest_first:
            usable.sort(key=lambda grain: (-link[grain], grain))
        parts = []
        size_left = request.size_left
        for grain in usable:
            rate = min(link[grain], self.capacity.rate_for(size_left))
            size_left -= self.capacity.bytes_in_grain(rate)
            parts.append(Part(grain, rate, path))
            if size_left <= 0:
                return tuple(sorted(parts))
        return ()


def total_earnings(requests: Iterable[JobRequest], plan: Plan) -> int:
    """Returns the earnings of the jobs that a plan moves."""
    return sum(request.job.earnings for request in requests if request.job.name in plan)


# Orders in which jobs are placed


def _by_deadline(request: JobRequest) -> tuple:
    return request.until, -request.job.earnings * MILLION // request.size_left, request.job.name


def _by_earnings_per_byte(request: JobRequest) -> tuple:
    return -request.job.earnings * MILLION // request.size_left, request.until, request.job.name


def _by_earnings(request: JobRequest) -> tuple:
    return -request.job.earnings, request.until, request.job.name


def _by_earnings_per_byte_and_slot(request: JobRequest) -> tuple:
    """Where compute slots are short, bytes alone mislead."""
    used = request.size_left * (1 + request.job.slots)
    return -request.job.earnings * MILLION // used, request.until, request.job.name


def _by_arrival(request: JobRequest) -> tuple:
    return request.job.earliest, request.job.name


ORDERS: tuple[Callable[[JobRequest], tuple], ...] = (
    _by_deadline,
    _by_earnings_per_byte,
    _by_earnings,
    _by_earnings_per_byte_and_slot,
)


def _place_all(
    capacity: Capacity, requests: Iterable[JobRequest], largest_first: bool
) -> tuple[Plan, FreeCapacity]:
    free = FreeCapacity(capacity)
    plan = {}
    for request in requests:
        parts = free.fit(request, largest_first)
        if parts:
            free.take(request.job, parts)
            plan[request.job.name] = parts
    return plan, free


def first_come_plan(capacity: Capacity, requests: Iterable[JobRequest]) -> Plan:
    """Returns the plan in order of arrival, each job as early as possible. For comparison."""
    return _place_all(capacity, sorted(requests, key=_by_arrival), False)[0]


class _Candidate(NamedTuple):
    earnings: int
    plan: Plan
    free: FreeCapacity
    largest_first: bool
    queue: list[JobRequest]  # in the order in which they were placed


def make_plan(
    capacity: Capacity, requests: Iterable[JobRequest], preference: dict[str, int] | None = None
) -> Plan:
    """Returns the plan with the highest earnings of those tried.

    `preference`: by name, how much of each job a solver moves; one more order to try.
    """
    requests = [request for request in requests if request.size_left > 0]
    orders = list(ORDERS)
    if preference:
        orders.append(lambda request: (-preference.get(request.job.name, 0), request.until, request.job.name))
    best: _Candidate | None = None
    for order in orders:
        for largest_first in (False, True):
            queue = sorted(requests, key=order)
            plan, free = _place_all(capacity, queue, largest_first)
            earnings = total_earnings(requests, plan)
            if best is None or earnings > best.earnings:
                best = _Candidate(earnings, plan, free, largest_first, queue)
    best = _search(capacity, requests, best)
    return _displace(best.plan, best.free, requests, best.largest_first)


def _search(capacity: Capacity, requests: list[JobRequest], best: _Candidate) -> _Candidate:
    """Moves jobs that were left out towards the front (squeaky wheels: Joslin, Clements 1999)."""
    rng = Prng(len(requests))
    rounds_without_gain = 0
    for _ in range(min(MAX_ROUNDS, MAX_PLACEMENTS // max(1, len(requests)))):
        left_out = [index for index, request in enumerate(best.queue) if request.job.name not in best.plan]
        if not left_out or rounds_without_gain == MAX_ROUNDS_WITHOUT_GAIN:
            break
        queue = list(best.queue)
        index = left_out[rng.below(len(left_out))]
        queue.insert(rng.below(index + 1), queue.pop(index))
        plan, free = _place_all(capacity, queue, best.largest_first)
        earnings = total_earnings(requests, plan)
        rounds_without_gain += 1
        if earnings >= best.earnings:
            rounds_without_gain = 0 if earnings > best.earnings else rounds_without_gain
            best = best._replace(earnings=earnings, plan=plan, free=free, queue=queue)
    return best


def _displace(plan: Plan, free: FreeCapacity, requests: list[JobRequest], largest_first: bool) -> Plan:
    """Has the jobs left out that earn most take the place of a few that earn less together."""
    request_by_name = {request.job.name: request for request in requests}
    left_out = [request for request in requests if request.job.name not in plan]
    for request in sorted(left_out, key=_by_earnings)[:MAX_DISPLACING]:
        job = request.job
        planned = [request_by_name[name] for name in plan]
        displaced = []
        lost_earnings = 0
        parts = free.fit(request, largest_first)
        for other in _displaceable(job, planned):
            if parts or len(displaced) == MAX_DISPLACED or lost_earnings + other.job.earnings >= job.earnings:
                break
            parts_before = plan.pop(other.job.name)
            displaced.append((other, parts_before))
            free.give_back(other.job, parts_before)
            lost_earnings += other.job.earnings
            parts = free.fit(request, largest_first)
        if parts:
            plan[job.name] = parts
            free.take(job, parts)
        for other, parts_before in displaced:
            new_parts = free.fit(other, largest_first) if parts else parts_before
            if new_parts:
                plan[other.job.name] = new_parts
                free.take(other.job, new_parts)
    return plan


def _displaceable(job: Job, planned: list[JobRequest]) -> list[JobRequest]:
    """Returns the jobs that share a site with `job` and earn less, those that earn least first."""
    sites = {job.origin, job.to}
    others = [
        other
        for other in planned
        if other.job.earnings < job.earnings and sites & {other.job.origin, other.job.to}
    ]
    return sorted(others, key=lambda other: (other.job.earnings, other.job.name))


def to_stretches(capacity: Capacity, parts: Iterable[Part]) -> tuple[Stretch, ...]:
    """Returns the reservations for parts; adjacent parts of one rate and path become one."""
    stretches: list[Stretch] = []
    for grain, rate, path in sorted(parts, key=lambda part: (part[2], part[0])):
        first = capacity.start + grain * capacity.grain
        if stretches and (stretches[-1].until, stretches[-1].rate, stretches[-1].way) == (first, rate, path):
            stretches[-1] = stretches[-1]._replace(until=first + capacity.grain)
        else:
            stretches.append(Stretch(first, first + capacity.grain, rate, path))
    return tuple(sorted(stretches))


# Plans for jobs that have reservations


class ReservedJob(NamedTuple):
    """A job with reservations."""

    request: JobRequest
    parts: tuple[Part, ...]
    is_recalled: bool  # and has not moved yet
    unreported: int = 0  # bytes that were due recently, and whose arrival may not be reported yet


def capacity_from(
    names: Iterable[str],
    free_in_slices: Callable[[str, int, int], tuple[int, ...]],
    start: int,
    grain: int,
    slice_us: int,
    grain_count: int,
) -> Capacity:
    """Returns the free capacity by `Books.resources` and `Books.free_capacity`.

    Each grain has the capacity of its narrowest slice. `start` is a multiple of `grain`, so that plans made
    at different times have the same grains.
    """
    by_name = {}
    for name in names:
        slices = free_in_slices(name, start, start + grain * grain_count)
        by_name[name] = tuple(
            min(slices[first : first + grain]) for first in range(0, grain * grain_count, grain)
        )
    return Capacity(
        start,
        grain,
        slice_us,
        {name: free for name, free in by_name.items() if ">" in name},
        {name: free for name, free in by_name.items() if ">" not in name},
    )


def reserved_job(
    capacity: Capacity,
    job: Job,
    proven: int,
    pieces: Iterable[Stretch],
    now: int,
    is_recalled: bool,
    since: int | None = None,
) -> ReservedJob:
    """Returns a job by its reservations.

    What it moves from slice `now` to the capacity's start counts as moved; what it moved from slice `since`
    to `now` may not be reported yet.
    """
    moved_before_start = unreported = 0
    parts = []
    for piece in pieces:
        slices_before_start = max(0, min(piece.until, capacity.start) - max(piece.first, now))
        moved_before_start += piece.rate * slices_before_start * capacity.slice // SECOND_US
        if since is not None:
            slices_before_now = max(0, min(piece.until, now) - max(piece.first, since))
            unreported += piece.rate * slices_before_now * capacity.slice // SECOND_US
        first = max(piece.first, capacity.start) - capacity.start
        until = min(piece.until - capacity.start, capacity.grain_count() * capacity.grain)
        grains = range(first // capacity.grain, -(-until // capacity.grain))
        parts += [Part(grain, piece.rate, piece.way) for grain in grains]
    request = job_request(capacity, job, proven)
    request = request._replace(size_left=max(0, request.size_left - moved_before_start))
    return ReservedJob(request, tuple(sorted(parts)), is_recalled, unreported)


def without_reservations(capacity: Capacity, reserved: Iterable[ReservedJob]) -> Capacity:
    """Returns the capacity as it is without these jobs, as `replan` takes it."""
    free = FreeCapacity(capacity)
    for job in reserved:
        free.give_back(job.request.job, job.parts)
    return capacity._replace(
        links={name: tuple(free.links[name]) for name in free.links},
        sites={name: tuple(free.sites[name]) for name in free.sites},
    )


class Changes(NamedTuple):
    """What to change.

    A recalled job without a new plan is to be freed. Reservations that the state machine refuses have to wait
    until others are parked.
    """

    recall: tuple[str, ...]  # jobs to recall, each once; they are parked
    plan: Plan  # new parts of new and recalled jobs


def replan(capacity: Capacity, reserved: tuple[ReservedJob, ...], new: tuple[JobRequest, ...]) -> Changes:
    """Returns the changes for jobs that have reservations, and for new ones.

    `capacity` includes what is reserved. Reservations that fit stay as they are; where too much is reserved,
    or a reservation carries too little, the jobs that earn least are moved or given up. New jobs displace a
    few that earn less, and only if all together earns MIN_GAIN_PPM of the current plan: plans don't
    oscillate.
    """
    free = FreeCapacity(capacity)
    staying, moving = [], []
    for job in sorted(reserved, key=lambda job: _by_earnings(job.request)):
        if not job.is_recalled and _is_sufficient(capacity, job) and _fits(free, job):
            free.take(job.request.job, job.parts)
            staying.append(job)
        else:
            moving.append(job)
    plan: Plan = {}
    for request in [job.request for job in moving] + sorted(new, key=_by_earnings_per_byte):
        parts = free.fit(request, False)
        if parts:
            free.take(request.job, parts)
            plan[request.job.name] = parts
    staying_parts = {job.request.job.name: job.parts for job in staying}
    current = staying_parts | plan
    requests = [job.request for job in reserved] + list(new)
    # A plan made anew as a whole earns little more, and moves nearly all jobs: most would wait or be late.
    better = _displace(dict(current), free, requests, False) if len(current) < len(requests) else current
    if total_earnings(requests, better) * MILLION > total_earnings(requests, current) * MIN_GAIN_PPM:
        plan = {name: parts for name, parts in sorted(better.items()) if staying_parts.get(name) != parts}
        moving = [job for job in reserved if better.get(job.request.job.name) != job.parts]
    return Changes(tuple(sorted(job.request.job.name for job in moving if not job.is_recalled)), plan)


def _is_sufficient(capacity: Capacity, job: ReservedJob) -> bool:
    carried = sum(capacity.bytes_in_grain(rate) for _, rate, _ in job.parts)
    return carried >= job.request.size_left - job.unreported


def _fits(free: FreeCapacity, reserved: ReservedJob) -> bool:
    job = reserved.request.job
    used_links = [(link, grain) for grain, _, path in reserved.parts for link in link_names(path)]
    if any(link not in free.links for link, _ in used_links) or not (
        job.origin in free.sites and job.to in free.sites
    ):
        return False
    free.take(job, reserved.parts)
    fits = all(free.links[link][grain] >= 0 for link, grain in used_links) and all(
        min(free.sites[job.origin][grain], free.sites[job.to][grain]) >= 0 for grain, _, _ in reserved.parts
    )
    free.give_back(job, reserved.parts)
    return fits
