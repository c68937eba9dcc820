"""By lab and check, how the guard that the check watches is taken out of a relay: `lab/broken.py` runs it."""

from collections.abc import Callable
from typing import Any

from laurelcourse import interface as face


def replace(owner: object, name: str, replacement: object) -> None:
    """Replaces an attribute. Raises AttributeError if there is none, as that would replace nothing."""
    getattr(owner, name)
    setattr(owner, name, replacement)


def _answer_twice() -> None:
    from laurelcourse.fronts.postgres.front import Front

    words = Front._final_reply
    replace(Front, "_final_reply", lambda self, end, told: words(self, end, told) * 2)


def _verdict(always: int) -> Callable[[], None]:
    def take_out() -> None:
        from laurelcourse.rules import Balancer

        replace(
            Balancer,
            "_verdict",
            lambda self, now, news: always if news.standing == face.ON_TRIAL else face.NO_VOTE,
        )

    return take_out


def _no_cap() -> None:
    from laurelcourse.rules import Balancer

    replace(Balancer, "_cap_allows", lambda *_: True)
    replace(Balancer, "_cold_unit_allows", lambda *_: True)


def _one_more_answer() -> None:
    from laurelcourse.fronts.tuf.front import Front

    respond = Front._respond

    def twice(self: Any, client: Any, *told: Any) -> bool:  # noqa: ANN401
        stays = respond(self, client, *told)
        client.conn.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        return stays

    replace(Front, "_respond", twice)


def _no_hash() -> None:
    from laurelcourse.fronts.tuf.download import Download

    restart = Download._restart

    def blind(self: Any) -> None:  # noqa: ANN401
        self.known_hashes = None
        restart(self)
        self.hashes.clear()

    replace(Download, "_restart", blind)


def _no_floor() -> None:
    from laurelcourse.fronts.tuf.trust import Trust

    adopt = Trust.adopt

    def forget(self: Any, view: Any) -> None:  # noqa: ANN401
        adopt(self, view)
        self.rollback_floor = None

    replace(Trust, "adopt", forget)


def _no_drain() -> None:
    from laurelcourse.fronts.tuf.mirror_list import MirrorList

    told = MirrorList.directory

    def deaf(self: Any, how: str, entries: Any) -> None:  # noqa: ANN401
        told(
            self,
            how,
            [one._replace(health=face.READY) if one.health == face.DRAINING else one for one in entries],
        )

    replace(MirrorList, "directory", deaf)


def _manifests_again() -> None:
    from laurelcourse import settings
    from laurelcourse.fronts.tuf import uptane, wiring

    routes = wiring.routes
    replace(
        wiring,
        "routes",
        lambda front: tuple(one._replace(repeat_policy=settings.RETRIABLE) for one in routes(front)),
    )
    replace(uptane.ManifestLog, "begin", lambda *_: (uptane.SEND, None))


def _hold_back() -> None:
    from laurelcourse.fronts.tuf.front import Front

    say = Front._respond_text

    def late(self: Any, client: Any, head: Any, status: int, *more: Any) -> bool:  # noqa: ANN401
        if status == 503:
            route = "target" if "/targets/" in head.path else "metadata"
            due = client.asked_at + self.timeouts[route] * 19 // 20
            self.scheduler.sleep(max(due - self.scheduler.now(), 0))
        return say(self, client, head, status, *more)

    replace(Front, "_respond_text", late)
    answer = Front._handle

    def noted(self: Any, client: Any, *told: Any) -> bool:  # noqa: ANN401
        client.asked_at = self.scheduler.now()
        return answer(self, client, *told)

    replace(Front, "_handle", noted)


def _undo_first_first() -> None:
    from laurelcourse.fleet.books import workflows as books

    def first(flow: Any) -> int:  # noqa: ANN401
        return next(
            (
                at
                for at, one in enumerate(flow.steps)
                if one.state in books.UNDOABLE_STEP_STATES and flow.definition.steps[at].effect
            ),
            -1,
        )

    replace(books, "step_to_undo", first)


def _step_sent(change: Callable[..., None]) -> Callable[[], None]:
    """`change` is given the sending itself and its arguments."""

    def take_out() -> None:
        from laurelcourse.fleet.workflows.step_sender import StepSender

        send = StepSender.send
        replace(StepSender, "send", lambda self, *told: change(self, lambda *more: send(self, *more), *told))

    return take_out


def _no_undo_sent(
    _: Any,  # noqa: ANN401
    give: Any,  # noqa: ANN401
    send: Any,  # noqa: ANN401
    left: int,
    again: bool,
    usable: Any,  # noqa: ANN401
    came: Any,  # noqa: ANN401
) -> None:
    if ".undo" in send.key:
        came("completed")
    else:
        give(send, left, again, usable, came)


def _notice_again(
    _: Any,  # noqa: ANN401
    give: Any,  # noqa: ANN401
    send: Any,  # noqa: ANN401
    left: int,
    again: bool,
    usable: Any,  # noqa: ANN401
    came: Any,  # noqa: ANN401
) -> None:
    if "notice." in send.statement:
        give(send._replace(id=send.id + "b"), left, again, usable, lambda _: None)
    give(send, left, again, usable, came)


def _late_tries(
    self: Any,  # noqa: ANN401
    give: Any,  # noqa: ANN401
    send: Any,  # noqa: ANN401
    left: int,
    again: bool,
    usable: Any,  # noqa: ANN401
    came: Any,  # noqa: ANN401
) -> None:
    """As from an owner that neither its lease nor its step's time holds back."""
    give(send, left, again, usable, came)
    late = send._replace(id=send.id + "late")
    self.scheduler.after(left, lambda: give(late, left, again, lambda: True, lambda _: None))


def _always_back() -> None:
    from laurelcourse.fleet.books import workflows as books

    replace(books, "passed_no_return", lambda _: False)
    replace(
        books,
        "step_to_undo",
        lambda flow: max(
            (
                at
                for at, one in enumerate(flow.steps)
                if one.state in books.UNDOABLE_STEP_STATES and flow.definition.steps[at].undo
            ),
            default=-1,
        ),
    )


def _refusals_unknown() -> None:
    from laurelcourse.fleet.workflows import step_sender

    outcome = step_sender.outcome_of
    replace(
        step_sender, "outcome_of", lambda *told: {"failed": "unknown"}.get(outcome(*told), outcome(*told))
    )


def _any_answer() -> None:
    from laurelcourse.fleet.workflows.run import WaitingClient

    look = WaitingClient.answer

    def wrong(self: Any, now: int, view: Any) -> Any:  # noqa: ANN401
        tell = look(self, now, view)
        return tell._replace(answer="undone") if tell and tell.answer == "done" and now & 1 else tell

    replace(WaitingClient, "answer", wrong)


def _never_told() -> None:
    from laurelcourse.fleet.calls.flows_service import FlowsService
    from laurelcourse.fleet.workflows.run import WaitingClient

    replace(WaitingClient, "answer", lambda *_: None)
    replace(FlowsService, "_spare", lambda self, wait: 10 * wait)


def _any_use() -> None:
    from laurelcourse.fleet.budgets.usage import BudgetUse

    replace(BudgetUse, "_fits", lambda *_: True)


def _lease_for_ever() -> None:
    from laurelcourse.fleet.budgets.holder import Holder
    from laurelcourse.fleet.budgets.usage import BudgetUse

    set_share, consume = BudgetUse.set_share, BudgetUse.consume

    def keep_share(self: Any, now: int, share: Any, until: int) -> None:  # noqa: ANN401
        if share is not None:
            set_share(self, now, share, until)

    replace(BudgetUse, "set_share", keep_share)
    replace(BudgetUse, "allowed", lambda self, _: self.budget.floor + self._share())
    replace(BudgetUse, "consume", lambda self, now, amount=1, **_: consume(self, now, amount, usable=True))
    replace(Holder, "_is_unlimited", lambda self, _, name: name not in self.budgets)


def _floors_gone() -> None:
    from laurelcourse.fleet.budgets.usage import BudgetUse

    replace(BudgetUse, "allowed", lambda self, now: self._share() if now < self.until else 0)


def _no_pace() -> None:
    from laurelcourse.fleet.transfers.rate_limiter import RateLimiter

    replace(RateLimiter, "take", lambda *_: True)
    replace(RateLimiter, "due", lambda self, now, size: now)


def _all_free() -> None:
    from laurelcourse.fleet.books import reservations
    from laurelcourse.fleet.books.apply import Books

    replace(reservations, "_check_capacity", lambda *_: None)
    replace(Books, "free_capacity", lambda self, resource, first, until: (400_000,) * (until - first))


def _half_a_plan() -> None:
    from laurelcourse.fleet.books import reservations
    from laurelcourse.fleet.keeper.transfer_planning import TransferPlanner

    plan = TransferPlanner.plan
    replace(reservations, "_check_plan", lambda *_: None)
    replace(
        TransferPlanner,
        "plan",
        lambda *told: tuple(one._replace(rate=max(1, one.rate // 2)) for one in plan(*told)),
    )


def _any_bytes() -> None:
    from laurelcourse.fleet.transfers.arrivals import PartialFile

    write = PartialFile.write
    replace(PartialFile, "write", lambda self, data: write(self, bytes(len(data))))
    replace(PartialFile, "digest", lambda self: type("Any", (), {"__ne__": lambda *_: False})())


def _shown_again() -> None:
    import os
    import shutil

    from laurelcourse.fleet.transfers.arrivals import Arrivals, file_name

    def publish(self: Any, job: str) -> bool:  # noqa: ANN401
        name = file_name(job)
        shutil.copy(self.parts_folder / name, self.parts_folder.parent / name)
        os.replace(self.parts_folder.parent / name, self.copies_folder / name)
        return True

    replace(Arrivals, "publish", publish)


def _kept_on() -> None:
    from laurelcourse.fleet.books import reservations

    book = reservations._set_pieces
    replace(
        reservations,
        "_set_pieces",
        lambda state, there, pieces: book(state, there, pieces) if pieces else None,
    )


GUARDS: dict[str, dict[str, Callable[[], Any]]] = {
    "relay": {
        "one_outcome_each": _answer_twice,
        "bad_build_released": _verdict(face.VOTE_ADVANCE),
        "good_build_released": _verdict(face.VOTE_HOLD),
        "exposure_over_cap": _no_cap,
    },
    "budgets": {
        "over_whole": _any_use,
        "used_after_lapse": _lease_for_ever,
        "floor_broken": _floors_gone,
        "one_outcome_each": _answer_twice,
    },
    "tuf": {
        "one_outcome_each": _one_more_answer,
        "wrong_bytes_accepted": _no_hash,
        "stale_metadata_passed": _no_floor,
        "to_draining_after_grace": _no_drain,
        "exposure_over_cap": _no_cap,
        "manifests_twice": _manifests_again,
        "answers_held_back": _hold_back,
    },
    "transfers": {
        "over_link": _no_pace,
        "over_compute": _all_free,
        "half_reserved": _half_a_plan,
        "wrong_bytes": _any_bytes,
        "committed_twice": _shown_again,
        "leaked_reservations": _kept_on,
    },
    "workflows": {
        "out_of_order": _undo_first_first,
        "effects_left_behind": _step_sent(_no_undo_sent),
        "undone_though_done": _always_back,
        "notices_twice": _step_sent(_notice_again),
        "two_owners_acted": _step_sent(_late_tries),
        "undo_of_never_ran": _refusals_unknown,
        "one_outcome_each": _any_answer,
        "answered_after_deadline": _never_told,
    },
}
