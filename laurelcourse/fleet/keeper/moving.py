"""The leader's part in transfers: which jobs are to let go, and what it would plan for one that asks. Pure.

Its plans are proposals: the books hold each command against the whole.
"""

from collections.abc import Iterable

from laurelcourse.fleet.books.apply import Books
from laurelcourse.fleet.books.forms import Job, Recall, Stretch
from laurelcourse.fleet.books.reservations import RECALLED, Kept
from laurelcourse.fleet.books.state import GRACE, SLICE
from laurelcourse.fleet.transfers import plan, views

GRAINS = 96  # that are planned for: the leader's own beats must not wait
SOON = 3  # slices ahead that a plan begins which waits for others to park
WISHES = 16  # newcomers for whom others may have to let go, remembered
SPARE, LEAST = 32, 32 << 10  # a plan carries so much (a part, and bytes) more: pauses are not made up for
STANDS = 4  # beats for which room made by a recall is kept for whom it was made


class Moving:
    """`meant`: of the newest plan that others were recalled for, who is to move and when; it stands until
    `until` in the books' time."""

    __slots__ = ("meant", "until", "wishes")

    def __init__(self) -> None:
        self.wishes: dict[str, Job] = {}
        self.meant: dict[str, tuple[Job, tuple[Stretch, ...]]] = {}
        self.until = 0

    def seen(self, books: Books, time: int, of: Iterable[Kept]) -> views.Seen:
        """As of `time`, the books' own by the leader's account."""
        found = []
        for one in of:
            live = books.numbered(one.owner)
            found.append(views.View(one.job, live.fence if live else None, one.pieces, one.proven, one.state))
        return views.Seen(time, "", tuple(found))

    def recall(self, books: Books, time: int, beat: int) -> Recall | None:
        """What must let go, each named once: the books name those again that were told before no more. What
        a relay moved may be told two beats later: it hears of it, and tells at its next."""
        if time < self.until:
            return None
        jobs = books.jobs()
        self.wishes = {
            name: job
            for name, job in self.wishes.items()
            if job.deadline > time and all(one.job.name != name for one in jobs)
        }
        if not self.wishes and not books.over():
            return None
        last = max([*(one.job.deadline for one in jobs), *(job.deadline for job in self.wishes.values())])
        room = _room(books, time, last, SOON)
        held = tuple(
            plan.held(
                room,
                one.job,
                one.proven,
                one.pieces,
                time // SLICE,
                one.state == RECALLED,
                (time - 2 * beat) // SLICE,
            )
            for one in jobs
            if one.pieces
        )
        new = [_spared(plan.wanted(room, self.wishes[name])) for name in sorted(self.wishes)]
        changes = plan.replanned(plan.whole(room, held), held, tuple(new))
        self.wishes = {}
        if not changes.recall:
            return None
        self.until = time + STANDS * beat
        of = {one.job.name: one.job for one in jobs} | {want.job.name: want.job for want in new}
        self.meant = {
            name: (of[name], plan.stretches(room, parts)) for name, parts in sorted(changes.plan.items())
        }
        return Recall(changes.recall)

    def ends(self, books: Books, time: int) -> bool:
        """Whether a job is to end by time, which the books see with the next batch alone."""
        return any(one.job.deadline + GRACE <= time for one in books.jobs())

    def plan(self, books: Books, time: int, job: Job) -> tuple[Stretch, ...]:
        """Pieces for what is left of a job, or none for now."""
        jobs = {one.job.name: one for one in books.jobs()}
        there = jobs.get(job.name)
        job = there.job if there else job
        room = _room(books, time, job.deadline, 1)
        free, now = plan.Free(room), time // SLICE
        if there is not None:
            free.put(job, plan.held(room, job, there.proven, there.pieces, now, False).parts, 1)
        for name, (other, pieces) in self.meant.items() if time < self.until else ():
            # What others let go of is for whom they did, who comes for it within beats.
            waits = name not in jobs or jobs[name].state == RECALLED
            if name != job.name and waits and pieces[0].first > now:
                free.put(other, plan.held(room, other, 0, pieces, now, False).parts)
        want = plan.wanted(room, job, there.proven if there else 0)
        parts = free.fit(_spared(want), False) if want.left > 0 else ()
        if not parts and there is None and job.earnings and len(self.wishes) < WISHES:
            self.wishes[job.name] = job
        return plan.stretches(room, parts)


def _spared(want: plan.Want) -> plan.Want:
    return want._replace(left=want.left + want.left // SPARE + LEAST)


def _room(books: Books, time: int, until: int, ahead: int) -> plan.Room:
    first = time // SLICE + ahead
    grain = max(1, -(-max(1, until // SLICE - first) // GRAINS))
    start = -(-first // grain) * grain
    grains = max(1, min(GRAINS, (until // SLICE - start) // grain))
    return plan.seen(books.resources(), books.room, start, grain, SLICE, grains)
