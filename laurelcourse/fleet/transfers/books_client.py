"""Asks the keepers about one transfer job, and estimates the state machine's time. For any thread."""

import threading
from collections.abc import Callable

from laurelcourse.fleet.calls.channel import SECOND
from laurelcourse.fleet.calls.client import Client
from laurelcourse.fleet.errors import FleetError, NoQuorumError, error_from_code
from laurelcourse.fleet.orders import Question
from laurelcourse.fleet.transfers import views


class BooksClient:
    """Looks jobs up, and knows the state machine's time by this process's clock."""

    def __init__(self, client: Client, clock: Callable[[], int]) -> None:
        """`clock` returns monotonic microseconds."""
        self.client = client
        self.clock = clock
        self.offset = 0  # of the state machine's time, to this clock
        self.offset_bounds: tuple[int, int] | None = None
        self.lock = threading.Lock()

    def now(self) -> int:
        """Returns the state machine's time; only once an answer has been received is it known."""
        return self.clock() + self.offset

    def update_time(self, asked_at: int, time: int) -> None:
        """Takes the time of an answer that was made between `asked_at` and now, which may be seconds apart.

        The offsets that all answers allow are far narrower. An answer that fits none of them is by a new
        leader's clock, or a clock has drifted.
        """
        lowest, highest = time - self.clock(), time - asked_at
        with self.lock:
            if self.offset_bounds is not None:
                narrowed = max(lowest, self.offset_bounds[0]), min(highest, self.offset_bounds[1])
                if narrowed[0] <= narrowed[1]:
                    lowest, highest = narrowed
            self.offset_bounds = lowest, highest
            self.offset = (lowest + highest) // 2

    def look_up(self, job: str) -> views.TransferList:
        """Returns the job's view; blocks for up to two order timeouts. Raises FleetError."""
        is_answered, answers, asked_at = threading.Event(), [], self.clock()

        def on_answer(answer: object) -> None:
            answers.append(answer)
            is_answered.set()

        self.client.ask(Question("move", job), on_answer)
        if not is_answered.wait(2 * self.client.limits.order_timeout / SECOND):
            raise NoQuorumError(job)
        answer = answers[0]
        if isinstance(answer, FleetError):
            raise answer
        if answer.code:
            raise error_from_code(answer.code, answer.to, dict(answer.told))
        transfers = views.from_plain(answer.value)
        self.update_time(asked_at, transfers.time)
        return transfers
