"""Guards of relays by lab and check, and how each is removed, so that the check that watches it must fail.

`without_guard.py` removes one in a relay's process. What is replaced is imported only there: a guard needs
some of the relay's libraries, and not all.
"""

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from laurelcourse import interface as face

if TYPE_CHECKING:
    from laurelcourse.fleet.books.forms import Job, Stretch
    from laurelcourse.fleet.books.state import JobRecord, State, Workflow
    from laurelcourse.fleet.books.workflows import WorkflowView
    from laurelcourse.fleet.budgets.usage import BudgetUse
    from laurelcourse.fleet.orders import Share
    from laurelcourse.fleet.transfers.arrivals import Arrivals, PartialFile
    from laurelcourse.fleet.workflows.run import ClientAnswer, SendReq, WaitingClient
    from laurelcourse.fleet.workflows.step_sender import StepSender
    from laurelcourse.fronts.postgres.front import Front as PostgresFront
    from laurelcourse.fronts.tuf.download import Download
    from laurelcourse.fronts.tuf.front import Front
    from laurelcourse.fronts.tuf.http_messages import RequestHead
    from laurelcourse.fronts.tuf.mirror_list import MirrorList
    from laurelcourse.fronts.tuf.trust import Trust, View
    from laurelcourse.net.admission import Client
    from laurelcourse.operator.settings import Tuf
    from laurelcourse.rules import Balancer
    from laurelcourse.state import ReleaseStatus

FULL_CAPACITY = 400_000
LATE_REFUSAL_PARTS = 19  # of 20 parts of a request's time


def replace(owner: object, name: str, replacement: object) -> None:
    """Replaces an attribute. Raises AttributeError if there is none, as that would replace nothing."""
    getattr(owner, name)
    setattr(owner, name, replacement)


# Relays


def _answer_twice() -> None:
    from laurelcourse.fronts.postgres.front import Front

    final_reply = Front._final_reply

    def doubled(self: "PostgresFront", end: str, value: bytes | int | None) -> bytes:
        return final_reply(self, end, value) * 2

    replace(Front, "_final_reply", doubled)


def _always_vote(vote: int) -> Callable[[], None]:
    def remove() -> None:
        from laurelcourse.rules import Balancer

        def verdict(_self: "Balancer", _now: int, release: "ReleaseStatus") -> int:
            return vote if release.standing == face.ON_TRIAL else face.NO_VOTE

        replace(Balancer, "_verdict", verdict)

    return remove


def _ignore_cap() -> None:
    from laurelcourse.rules import Balancer

    replace(Balancer, "_cap_allows", lambda *_: True)
    replace(Balancer, "_cold_unit_allows", lambda *_: True)


# Budgets


def _exceed_budgets() -> None:
    from laurelcourse.fleet.budgets.usage import BudgetUse

    replace(BudgetUse, "_fits", lambda *_: True)


def _keep_shares_after_lease() -> None:
    from laurelcourse.fleet.budgets.holder import Holder
    from laurelcourse.fleet.budgets.usage import BudgetUse

    set_share = BudgetUse.set_share
    consume = BudgetUse.consume

    def keep_share(self: "BudgetUse", now: int, share: "Share | None", until: int) -> None:
        if share is not None:
            set_share(self, now, share, until)

    replace(BudgetUse, "set_share", keep_share)
    replace(BudgetUse, "allowed", lambda self, _: self.budget.floor + self._share())
    replace(BudgetUse, "consume", lambda self, now, amount=1, **_: consume(self, now, amount, usable=True))
    replace(Holder, "_is_unlimited", lambda self, _, name: name not in self.budgets)


def _deny_floors() -> None:
    from laurelcourse.fleet.budgets.usage import BudgetUse

    replace(BudgetUse, "allowed", lambda self, now: self._share() if now < self.until else 0)


# TUF fronts


def _respond_twice() -> None:
    from laurelcourse.fronts.tuf.front import Front

    respond = Front._respond

    def twice(
        self: "Front", client: "Client", head: "RequestHead", status: int, fields: dict[str, str], body: bytes
    ) -> bool:
        stays = respond(self, client, head, status, fields, body)
        client.conn.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        return stays

    replace(Front, "_respond", twice)


def _skip_hashes() -> None:
    from laurelcourse.fronts.tuf.download import Download

    restart = Download._restart

    def without_hashes(self: "Download") -> None:
        self.known_hashes = None
        restart(self)
        self.hashes.clear()

    replace(Download, "_restart", without_hashes)


def _forget_rollback_floor() -> None:
    from laurelcourse.fronts.tuf.trust import Trust

    adopt = Trust.adopt

    def forget(self: "Trust", view: "View") -> None:
        adopt(self, view)
        self.rollback_floor = None

    replace(Trust, "adopt", forget)


def _ignore_drains() -> None:
    from laurelcourse.fronts.tuf.mirror_list import MirrorList

    directory = MirrorList.directory

    def all_ready(self: "MirrorList", how: str, entries: Iterable[face.Listed]) -> None:
        ready = [
            entry._replace(health=face.READY) if entry.health == face.DRAINING else entry for entry in entries
        ]
        directory(self, how, ready)

    replace(MirrorList, "directory", all_ready)


def _repeat_manifests() -> None:
    from laurelcourse import settings
    from laurelcourse.fronts.tuf import uptane, wiring

    routes = wiring.routes

    def retriable(front: "Tuf") -> tuple:
        return tuple(route._replace(repeat_policy=settings.RETRIABLE) for route in routes(front))

    replace(wiring, "routes", retriable)
    replace(uptane.ManifestLog, "begin", lambda *_: (uptane.SEND, None))


def _hold_refusals_back() -> None:
    from laurelcourse.fronts.tuf.front import Front

    respond_text = Front._respond_text
    handle = Front._handle

    def late(
        self: "Front", client: "Client", head: "RequestHead", status: int, message: str, retry_after: int = 0
    ) -> bool:
        if status == 503:
            route = "target" if "/targets/" in head.path else "metadata"
            due = client.asked_at + self.timeouts[route] * LATE_REFUSAL_PARTS // 20
            self.scheduler.sleep(max(due - self.scheduler.now(), 0))
        return respond_text(self, client, head, status, message, retry_after)

    def with_time(self: "Front", client: "Client", *rest: object) -> bool:
        client.asked_at = self.scheduler.now()
        return handle(self, client, *rest)

    replace(Front, "_respond_text", late)
    replace(Front, "_handle", with_time)


# Workflows

Send = Callable[..., None]


def _undoable_steps(workflow: "Workflow | WorkflowView") -> list[int]:
    from laurelcourse.fleet.books import workflows

    return [
        index for index, step in enumerate(workflow.steps) if step.state in workflows.UNDOABLE_STEP_STATES
    ]


def _undo_first_step_first() -> None:
    from laurelcourse.fleet.books import workflows

    def first_step(workflow: "Workflow | WorkflowView") -> int:
        steps = workflow.definition.steps
        return min((index for index in _undoable_steps(workflow) if steps[index].effect), default=-1)

    replace(workflows, "step_to_undo", first_step)


def _undo_done_workflows() -> None:
    from laurelcourse.fleet.books import workflows

    def last_step_with_undo(workflow: "Workflow | WorkflowView") -> int:
        steps = workflow.definition.steps
        return max((index for index in _undoable_steps(workflow) if steps[index].undo), default=-1)

    replace(workflows, "passed_no_return", lambda _: False)
    replace(workflows, "step_to_undo", last_step_with_undo)


def _replace_step_sending(replacement: Callable[..., None]) -> Callable[[], None]:
    """`replacement` gets the sender, its method, and the method's arguments."""

    def remove() -> None:
        from laurelcourse.fleet.workflows.step_sender import StepSender

        send = StepSender.send

        def changed(self: "StepSender", *arguments: object) -> None:
            replacement(self, lambda *other: send(self, *other), *arguments)

        replace(StepSender, "send", changed)

    return remove


def _omit_undos(
    _sender: "StepSender",
    send: Send,
    request: "SendReq",
    time_left: int,
    is_repeat: bool,
    may_send: Callable[[], bool],
    on_outcome: Callable[[str], None],
) -> None:
    if ".undo" in request.key:
        on_outcome("completed")
    else:
        send(request, time_left, is_repeat, may_send, on_outcome)


def _send_notices_twice(
    _sender: "StepSender",
    send: Send,
    request: "SendReq",
    time_left: int,
    is_repeat: bool,
    may_send: Callable[[], bool],
    on_outcome: Callable[[str], None],
) -> None:
    if "notice." in request.statement:
        again = request._replace(id=request.id + "b")
        send(again, time_left, is_repeat, may_send, lambda _: None)
    send(request, time_left, is_repeat, may_send, on_outcome)


def _send_late_tries(
    sender: "StepSender",
    send: Send,
    request: "SendReq",
    time_left: int,
    is_repeat: bool,
    may_send: Callable[[], bool],
    on_outcome: Callable[[str], None],
) -> None:
    """Sends as an owner does that neither its lease nor its step's time holds back."""
    send(request, time_left, is_repeat, may_send, on_outcome)
    late = request._replace(id=request.id + "late")
    sender.scheduler.after(time_left, lambda: send(late, time_left, is_repeat, lambda: True, lambda _: None))


def _forget_refusals() -> None:
    from laurelcourse.fleet.workflows import step_sender

    outcome_of = step_sender.outcome_of

    def without_refusals(end: str, statuses: list[str], once: bool) -> str:
        outcome = outcome_of(end, statuses, once)
        return "unknown" if outcome == "failed" else outcome

    replace(step_sender, "outcome_of", without_refusals)


def _contradict_answers() -> None:
    from laurelcourse.fleet.workflows.run import WaitingClient

    answer = WaitingClient.answer

    def wrong(self: "WaitingClient", now: int, view: "WorkflowView | None") -> "ClientAnswer | None":
        reply = answer(self, now, view)
        if reply and reply.answer == "done" and now & 1:
            return reply._replace(answer="undone")
        return reply

    replace(WaitingClient, "answer", wrong)


def _never_answer() -> None:
    from laurelcourse.fleet.calls.flows_service import FlowsService
    from laurelcourse.fleet.workflows.run import WaitingClient

    replace(WaitingClient, "answer", lambda *_: None)
    replace(FlowsService, "_spare", lambda self, wait: 10 * wait)


# Transfers


def _ignore_rates() -> None:
    from laurelcourse.fleet.transfers.rate_limiter import RateLimiter

    replace(RateLimiter, "take", lambda *_: True)
    replace(RateLimiter, "due", lambda self, now, size: now)


def _ignore_capacity() -> None:
    from laurelcourse.fleet.books import reservations
    from laurelcourse.fleet.books.apply import Books

    def full_capacity(_self: "Books", _resource: str, first: int, until: int) -> tuple[int, ...]:
        return (FULL_CAPACITY,) * (until - first)

    replace(reservations, "_check_capacity", lambda *_: None)
    replace(Books, "free_capacity", full_capacity)


def _reserve_half() -> None:
    from laurelcourse.fleet.books import reservations
    from laurelcourse.fleet.keeper.transfer_planning import TransferPlanner

    plan = TransferPlanner.plan

    def half_plan(self: "TransferPlanner", books: object, time: int, job: "Job") -> tuple["Stretch", ...]:
        stretches = plan(self, books, time, job)
        return tuple(stretch._replace(rate=max(1, stretch.rate // 2)) for stretch in stretches)

    replace(reservations, "_check_plan", lambda *_: None)
    replace(TransferPlanner, "plan", half_plan)


def _write_zeros() -> None:
    from laurelcourse.fleet.transfers.arrivals import PartialFile

    write = PartialFile.write

    def zeros(self: "PartialFile", data: bytes) -> None:
        write(self, bytes(len(data)))

    class AnyDigest:
        """Differs from no digest."""

        def __ne__(self, _other: object) -> bool:
            return False

    replace(PartialFile, "write", zeros)
    replace(PartialFile, "digest", lambda _: AnyDigest())


def _publish_again() -> None:
    import os
    import shutil

    from laurelcourse.fleet.transfers.arrivals import Arrivals, file_name

    def publish(self: "Arrivals", job: str) -> bool:
        name = file_name(job)
        shutil.copy(self.parts_folder / name, self.parts_folder.parent / name)
        os.replace(self.parts_folder.parent / name, self.copies_folder / name)
        return True

    replace(Arrivals, "publish", publish)


def _keep_reservations() -> None:
    from laurelcourse.fleet.books import reservations

    set_pieces = reservations._set_pieces

    def unless_freed(state: "State", record: "JobRecord", pieces: tuple["Stretch", ...]) -> None:
        if pieces:
            set_pieces(state, record, pieces)

    replace(reservations, "_set_pieces", unless_freed)


GUARDS: dict[str, dict[str, Callable[[], None]]] = {
    "relay": {
        "one_outcome_each": _answer_twice,
        "bad_build_released": _always_vote(face.VOTE_ADVANCE),
        "good_build_released": _always_vote(face.VOTE_HOLD),
        "exposure_over_cap": _ignore_cap,
    },
    "budgets": {
        "over_whole": _exceed_budgets,
        "used_after_lapse": _keep_shares_after_lease,
        "floor_broken": _deny_floors,
        "one_outcome_each": _answer_twice,
    },
    "tuf": {
        "one_outcome_each": _respond_twice,
        "wrong_bytes_accepted": _skip_hashes,
        "stale_metadata_passed": _forget_rollback_floor,
        "to_draining_after_grace": _ignore_drains,
        "exposure_over_cap": _ignore_cap,
        "manifests_twice": _repeat_manifests,
        "answers_held_back": _hold_refusals_back,
    },
    "transfers": {
        "over_link": _ignore_rates,
        "over_compute": _ignore_capacity,
        "half_reserved": _reserve_half,
        "wrong_bytes": _write_zeros,
        "committed_twice": _publish_again,
        "leaked_reservations": _keep_reservations,
    },
    "workflows": {
        "out_of_order": _undo_first_step_first,
        "effects_left_behind": _replace_step_sending(_omit_undos),
        "undone_though_done": _undo_done_workflows,
        "notices_twice": _replace_step_sending(_send_notices_twice),
        "two_owners_acted": _replace_step_sending(_send_late_tries),
        "undo_of_never_ran": _forget_refusals,
        "one_outcome_each": _contradict_answers,
        "answered_after_deadline": _never_answer,
    },
}
