"""The leader's part in transfers: which jobs to recall, and plans for jobs that ask for one. Pure.

Its plans are proposals: the replicated state machine checks each command against the capacities.
"""

from collections.abc import Iterable

from laurelcourse.fleet.books.apply import Books
from laurelcourse.fleet.books.forms import Job, Recall, Stretch
from laurelcourse.fleet.books.reservations import RECALLED, JobView
from laurelcourse.fleet.books.state import GRACE_US, HORIZON_SLICES, SLICE_US
from laurelcourse.fleet.transfers import plan, views

MAX_GRAINS = 96  # steps of a plan; more would delay the leader's heartbeats
RECALL_LEAD_SLICES = 3  # after which a plan begins that waits for others to let go
MAX_WAITING_JOBS = 16  # new jobs, remembered, for which others may be recalled
# A plan carries more than is left, by a part and a number of bytes, as pauses are not made up for.
SPARE_PART = 32
SPARE_BYTES = 32 << 10
RECALL_HOLD_INTERVALS = 4  # renew intervals for which room is kept for the job it was recalled for


class TransferPlanner:
    """Plans transfers with what the leader remembers between calls.

    `intended`: from the newest plan for which others were recalled, which jobs are to move and when; it
    stands until `intended_until` in the state machine's time.
    """

    __slots__ = ("intended", "intended_until", "waiting_jobs")

    def __init__(self) -> None:
        self.waiting_jobs: dict[str, Job] = {}
        self.intended: dict[str, tuple[Job, tuple[Stretch, ...]]] = {}
        self.intended_until = 0

    def view(self, books: Books, time: int, jobs: Iterable[JobView]) -> views.TransferList:
        """Returns jobs as of `time`, the state machine's time by the leader's clock."""
        transfer_views = []
        for job in jobs:
            live = books.session_by_number(job.owner)
            fence = live.fence if live else None
            transfer_views.append(views.TransferView(job.job, fence, job.pieces, job.proven, job.state))
        return views.TransferList(time, "", tuple(transfer_views))

    def recall(self, books: Books, time: int, interval: int) -> Recall | None:
        """Returns the jobs that have to let go, each named once.

        The state machine names no job again that was recalled before. Progress of a relay may be reported two
        renew intervals late: it learns of it, and reports with its next renewal.
        """
        if time < self.intended_until:
            return None
        jobs = books.jobs()
        self.waiting_jobs = {
            name: job
            for name, job in self.waiting_jobs.items()
            if job.deadline > time and all(known.job.name != name for known in jobs)
        }
        if not self.waiting_jobs and not books.over_reserved():
            return None
        last_deadline = max(
            [
                *(known.job.deadline for known in jobs),
                *(job.deadline for job in self.waiting_jobs.values()),
            ]
        )
        capacity = _capacity(books, time, last_deadline, RECALL_LEAD_SLICES)
        reserved = tuple(
            plan.reserved_job(
                capacity,
                known.job,
                known.proven,
                known.pieces,
                time // SLICE_US,
                known.state == RECALLED,
                (time - 2 * interval) // SLICE_US,
            )
            for known in jobs
            if known.pieces
        )
        new = [
            _with_spare(plan.job_request(capacity, self.waiting_jobs[name]))
            for name in sorted(self.waiting_jobs)
        ]
        changes = plan.replan(plan.without_reservations(capacity, reserved), reserved, tuple(new))
        self.waiting_jobs = {}
        if not changes.recall:
            return None
        self.intended_until = time + RECALL_HOLD_INTERVALS * interval
        job_by_name = {known.job.name: known.job for known in jobs} | {
            request.job.name: request.job for request in new
        }
        self.intended = {
            name: (job_by_name[name], plan.to_stretches(capacity, parts))
            for name, parts in sorted(changes.plan.items())
        }
        return Recall(changes.recall)

    def has_expired(self, books: Books, time: int) -> bool:
        """Returns whether a job ends by time, which the state machine learns only with the next batch."""
        return any(known.job.deadline + GRACE_US <= time for known in books.jobs())

    def plan(self, books: Books, time: int, job: Job) -> tuple[Stretch, ...]:
        """Returns stretches for what is left of a job, or none for now."""
        jobs = {known.job.name: known for known in books.jobs()}
        known = jobs.get(job.name)
        job = known.job if known else job
        capacity = _capacity(books, time, job.deadline, 1)
        free, now = plan.FreeCapacity(capacity), time // SLICE_US
        if known is not None:
            free.give_back(
                job, plan.reserved_job(capacity, job, known.proven, known.pieces, now, False).parts
            )
        for name, (other, pieces) in self.intended.items() if time < self.intended_until else ():
            # Room that was recalled for a job is kept for it: it will ask within a few intervals.
            waits = name not in jobs or jobs[name].state == RECALLED
            if name != job.name and waits and pieces[0].first > now:
                free.take(other, plan.reserved_job(capacity, other, 0, pieces, now, False).parts)
        request = plan.job_request(capacity, job, known.proven if known else 0)
        parts = free.fit(_with_spare(request), False) if request.size_left > 0 else ()
        if not parts and known is None and job.earnings and len(self.waiting_jobs) < MAX_WAITING_JOBS:
            self.waiting_jobs[job.name] = job
        return plan.to_stretches(capacity, parts)


def _with_spare(request: plan.JobRequest) -> plan.JobRequest:
    return request._replace(size_left=request.size_left + request.size_left // SPARE_PART + SPARE_BYTES)


def _capacity(books: Books, time: int, until: int, lead_slices: int) -> plan.Capacity:
    """Returns the free capacities from now until a time, in at most MAX_GRAINS grains.

    Nothing is reserved beyond the horizon, so none is planned there: a job that is due later moves before.
    """
    now = time // SLICE_US
    first, last = now + lead_slices, min(until // SLICE_US, now + HORIZON_SLICES)
    grain = max(1, -(-max(1, last - first) // MAX_GRAINS))
    start = -(-first // grain) * grain
    grains = max(1, min(MAX_GRAINS, (last - start) // grain))
    return plan.capacity_from(books.resources(), books.free_capacity, start, grain, SLICE_US, grains)
