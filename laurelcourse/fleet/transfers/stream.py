"""Bytes of transfers between relay processes: one gRPC stream a job, in threads of its own.

The sender keeps to the reserved rate (`pace.py`) and stops by its lease; the receiver asks the books whose
the job is and what is reserved, and refuses by type what goes beyond. Each chunk bears a checksum (zlib's
crc32), the last one the digest of the whole (blake2b): the last byte is proven only once both agree.
"""

import logging
import threading
import zlib
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import grpc
from google.protobuf.message import Message

from laurelcourse.fleet.books.forms import Fence
from laurelcourse.fleet.books.reservations import COMMITTED, END_STATES, RESERVED
from laurelcourse.fleet.books.state import SLICE_US
from laurelcourse.fleet.calls import codec, fleet_pb2_grpc
from laurelcourse.fleet.calls import fleet_pb2 as wire
from laurelcourse.fleet.calls.channel import SECOND, Limits, options
from laurelcourse.fleet.calls.client import Client
from laurelcourse.fleet.calls.service import refusal
from laurelcourse.fleet.errors import (
    FencedOffError,
    FleetError,
    JobHeldError,
    NoQuorumError,
    NoSuchJobError,
    OutOfOrderError,
    StoppingError,
    TooFastError,
    WrongBytesError,
    error_from_code,
)
from laurelcourse.fleet.orders import Question
from laurelcourse.fleet.transfers import pace, views
from laurelcourse.fleet.transfers.arrivals import Arrivals, Part, digest

log = logging.getLogger(__name__)

CHUNK = 16 << 10  # bytes
PROOF = 200_000  # microseconds between two proofs
STREAMS = 16  # into one relay at once


class Books:
    """The books' word on one job, and their time by this process's clock. From any thread."""

    def __init__(self, client: Client, clock: Callable[[], int]) -> None:
        self.client, self.clock, self.ahead = client, clock, 0
        self.lock, self.bounds = threading.Lock(), None

    def now(self) -> int:
        """Known once any answer has come."""
        return self.clock() + self.ahead

    def hear(self, asked: int, time: int) -> None:
        """An answer was made between the asking and now, which may lie seconds apart. What all answers allow
        is far narrower; one that fits none of it is of a new leader's account, or a clock has drifted."""
        least, most = time - self.clock(), time - asked
        with self.lock:
            if self.bounds is not None:
                low, high = max(least, self.bounds[0]), min(most, self.bounds[1])
                if low <= high:
                    least, most = low, high
            self.bounds = least, most
            self.ahead = (least + most) // 2

    def job(self, name: str) -> views.Seen:
        """Blocks for the client's patience at most. Raises FleetError."""
        over, found, asked = threading.Event(), [], self.clock()

        def told(answer: object) -> None:
            found.append(answer)
            over.set()

        self.client.ask(Question("move", name), told)
        if not over.wait(2 * self.client.limits.order_timeout / SECOND):
            raise NoQuorumError(name)
        answer = found[0]
        if isinstance(answer, FleetError):
            raise answer
        if answer.code:
            raise error_from_code(answer.code, answer.to, dict(answer.told))
        seen = views.seen(answer.value)
        self.hear(asked, seen.time)
        return seen


class Door(fleet_pb2_grpc.MovesServicer):
    """Where one relay takes what is sent to its site."""

    def __init__(
        self,
        fleet: str,
        me: str,
        site: str,
        arrivals: Arrivals,
        books: Books,
        beat: int,
        limits: Limits,
        address: str,
    ) -> None:
        """OSError when the address is taken."""
        self.fleet, self.me, self.site, self.arrivals, self.books = fleet, me, site, arrivals, books
        self.beat, self.limits, self.closed = beat, limits, threading.Event()
        self.lock, self.open = threading.Lock(), {}
        self.pool = ThreadPoolExecutor(STREAMS, thread_name_prefix="fleet-moves")
        self.server = grpc.server(self.pool, options=options(limits), maximum_concurrent_rpcs=STREAMS)
        fleet_pb2_grpc.add_MovesServicer_to_server(self, self.server)
        try:
            self.port = self.server.add_insecure_port(address)
        except RuntimeError as error:
            self.pool.shutdown()
            raise OSError(f"can't listen at {address}") from error
        self.sweeper = threading.Thread(target=self._sweep, name="fleet-moves-sweep", daemon=True)

    def start(self) -> None:
        self.server.start()
        self.sweeper.start()

    def stop(self, grace: int) -> None:
        self.closed.set()
        self.server.stop(grace / SECOND).wait()
        self.pool.shutdown()
        self.sweeper.join(grace / SECOND)

    def Carry(self, chunks: Iterator[Message], context: grpc.ServicerContext) -> Iterator[Message]:  # noqa: N802
        sender, part, job = "", None, ""
        try:
            first = next(chunks)
            sender = codec.check(first, self.fleet, self.me)
            fence, job = codec.from_message(Fence, first.fence), first.job
            view = self._allowed(job, fence)
            part = self._part(job, view.job.size, context)
            log.info("stream begins", extra={"job": job, "at_byte": self._capped(part), "sender": sender})
            yield self._proof(sender, self._capped(part))
            yield from self._carried(chunks, context, part, fence, view, sender)
        except StopIteration:
            return
        except FleetError as error:
            log.warning("stream refused", extra=error.fields())
            yield wire.Proof(
                head=codec.head(self.fleet, self.me, sender), refused=codec.to_message(refusal(error)).done
            )
        finally:
            if part is not None:
                part.close()
            with self.lock:
                if self.open.get(job) is context:
                    del self.open[job]

    def _carried(
        self,
        chunks: Iterator[Message],
        context: grpc.ServicerContext,
        part: Part,
        fence: Fence,
        view: views.View,
        sender: str,
    ) -> Iterator[Message]:
        rate = pace.receiver(view.pieces, SLICE_US, self.books.now() - pace.SLACK, CHUNK)
        looked = proved = ready = self.books.clock()
        slow = 0
        for chunk in chunks:
            now = self.books.clock()
            slow -= min(slow, now - ready)
            if now >= looked + self.beat:
                anew = self._allowed(part.job, fence)
                if anew.pieces != view.pieces:
                    rate = pace.receiver(anew.pieces, SLICE_US, self.books.now() - pace.SLACK, CHUNK)
                view, looked = anew, self.books.clock()
            # What came while this end asked the books or wrote to disk had to wait: no fault of the sender.
            slow = max(slow, self.books.clock() - now)
            rate.burst = pace.SLACK + slow
            if not rate.take(self.books.now(), len(chunk.data)):
                raise TooFastError(part.job, bytes=len(chunk.data))
            if chunk.offset != part.at or part.at + len(chunk.data) > part.size:
                raise OutOfOrderError(part.job, state=f"at {part.at}", order=f"bytes of {chunk.offset}")
            if zlib.crc32(chunk.data) != chunk.crc:
                raise WrongBytesError(part.job, offset=chunk.offset)
            with self.lock:
                if self.open.get(part.job) is not context:
                    raise JobHeldError(part.job, session=fence.session)
            part.write(chunk.data)
            if chunk.whole:
                part.sync()
                if part.at != part.size or part.digest() != chunk.whole:
                    part.drop()
                    raise WrongBytesError(part.job, offset=0)
                yield self._proof(sender, part.size)
                return
            if now >= proved + PROOF:
                part.sync()
                proved = now
                yield self._proof(sender, self._capped(part))
            ready = self.books.clock()
            slow = max(slow, ready - now)

    def _proof(self, sender: str, proven: int) -> Message:
        return wire.Proof(head=codec.head(self.fleet, self.me, sender), proven=proven)

    @staticmethod
    def _capped(part: Part) -> int:
        """The last byte is proven by the digest of the whole alone."""
        return min(part.proven, part.size - 1)

    def _allowed(self, job: str, fence: Fence) -> views.View:
        seen = self.books.job(job)
        if not seen.views:
            raise NoSuchJobError(job, end=seen.ended)
        view = seen.views[0]
        if view.owner != fence:
            raise FencedOffError(
                fence.name, session=fence.session, newer=view.owner.session if view.owner else 0
            )
        if view.state != RESERVED or view.job.to != self.site:
            raise OutOfOrderError(job, state=view.state, order=f"bytes for {self.site}")
        return view

    def _part(self, job: str, size: int, context: grpc.ServicerContext) -> Part:
        """A stream from before, of an owner who is it no more or was cut off, makes room."""
        with self.lock:
            before = self.open.pop(job, None)
            self.open[job] = context
        if before is not None:
            before.cancel()
        for _ in range(20):
            try:
                return self.arrivals.part(job, size)
            except JobHeldError:
                if before is None or self.closed.wait(0.05):
                    raise
        raise JobHeldError(job, session=0)

    def _sweep(self) -> None:
        """Copies become visible, and parts of jobs that ended otherwise go, whatever became of the stream."""
        while not self.closed.wait(self.beat / SECOND):
            try:
                for job in self.arrivals.waiting():
                    self._swept(job)
            except (FleetError, OSError, ValueError) as error:
                log.info("parts wait", extra={"fault": str(error)[:120]})

    def _swept(self, job: str) -> None:
        with self.lock:
            if job in self.open:
                return
        seen = self.books.job(job)
        if seen.ended == COMMITTED:
            if self.arrivals.show(job):
                log.info("copy is here", extra={"job": job})
        elif seen.ended in END_STATES:
            self.arrivals.forget(job)


class Sending(threading.Thread):
    """One job's bytes on their way. `told(job, proven or error)` is called from this thread; it ends by
    itself when all is proven, nothing is reserved any more, `until` has passed or `stop` is set."""

    def __init__(
        self,
        fleet: str,
        me: str,
        to: tuple[str, str],
        view: views.View,
        source: Path,
        books: Books,
        limits: Limits,
        told: Callable[[str, "int | FleetError", "Sending"], None],
        until: int,
    ) -> None:
        """`to`: the receiving relay's name and address; `until`: by the books' clock function's clock."""
        super().__init__(name=f"fleet-send-{view.job.name}", daemon=True)
        self.fleet, self.me, self.to, self.view, self.source = fleet, me, to, view, source
        self.books, self.limits, self.told, self.until = books, limits, told, until
        self.stop, self.begin = threading.Event(), threading.Event()
        self.start_at, self.ended = 0, False

    def run(self) -> None:
        job, outcome = self.view.job.name, None
        channel = grpc.insecure_channel(self.to[1], options(self.limits))
        call = None
        try:
            call = fleet_pb2_grpc.MovesStub(channel).Carry(self._chunks())
            for proof in call:
                codec.check(proof, self.fleet, self.me)
                if proof.HasField("refused"):
                    done = codec.from_message(codec.books.Done, proof.refused)
                    raise error_from_code(done.code, done.to, dict(done.told))
                if not self.begin.is_set():
                    self.start_at = proof.proven
                    self.begin.set()
                self.told(job, proof.proven, self)
        except grpc.RpcError as error:
            outcome = (
                StoppingError(self.to[0])
                if self.stop.is_set()
                else NoQuorumError(f"{self.to[0]} ({error.code().name.lower()})")
            )
        except FleetError as error:
            outcome = error
        finally:
            self.ended = True
            self.stop.set()
            self.begin.set()
            if call is not None:
                call.cancel()
            channel.close()
        if outcome is not None:
            self.told(job, outcome, self)

    def _chunks(self) -> Iterator[Message]:
        view = self.view
        yield wire.Chunk(
            head=codec.head(self.fleet, self.me, self.to[0]),
            job=view.job.name,
            fence=codec.to_message(view.owner),
        )
        self.begin.wait()
        rate = pace.sender(view.pieces, SLICE_US, self.books.now(), CHUNK)
        at, size = self.start_at, view.job.size
        whole = digest(self.source)
        with self.source.open("rb") as file:
            file.seek(at)
            while at < size and not self.stop.is_set():
                now, length = self.books.now(), min(CHUNK, size - at)
                while not (due := rate.due(now, length)) and length > 1:
                    length //= 2  # what is left of the stretch carries less than a chunk
                data = file.read(length)
                if not data or not due:
                    return
                # The lease is looked at before each chunk: who wakes from a pause sends nothing more.
                if self.stop.wait(max(0, due - now) / SECOND) or self.books.clock() >= self.until:
                    return
                if not rate.take(self.books.now(), len(data)):
                    file.seek(at)
                    continue
                last = at + len(data) == size
                yield wire.Chunk(offset=at, data=data, crc=zlib.crc32(data), whole=whole if last else b"")
                at += len(data)
