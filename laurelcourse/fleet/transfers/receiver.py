"""Receives the bytes of transfers from other relays: one gRPC stream per job, in threads of its own.

The receiver asks the keepers who owns the job and what is reserved, and refuses what exceeds that. Each chunk
has a checksum (zlib's crc32), the last one the digest of all bytes (blake2b): the last byte is proven only
once both agree.
"""

import logging
import threading
import zlib
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import grpc
from google.protobuf.message import Message

from laurelcourse.fleet.books.forms import Fence
from laurelcourse.fleet.books.reservations import COMMITTED, END_STATES, RESERVED
from laurelcourse.fleet.books.state import SLICE_US
from laurelcourse.fleet.calls import codec, fleet_pb2_grpc
from laurelcourse.fleet.calls import fleet_pb2 as wire
from laurelcourse.fleet.calls.channel import SECOND, Limits, options
from laurelcourse.fleet.calls.service import refusal
from laurelcourse.fleet.errors import (
    FencedOffError,
    FleetError,
    JobHeldError,
    NoSuchJobError,
    OutOfOrderError,
    TooFastError,
    WrongBytesError,
)
from laurelcourse.fleet.transfers import views
from laurelcourse.fleet.transfers.arrivals import Arrivals, PartialFile
from laurelcourse.fleet.transfers.books_client import BooksClient
from laurelcourse.fleet.transfers.rate_limiter import (
    RECEIVER_SLACK_US,
    RateLimiter,
    receiver_limiter,
)
from laurelcourse.fleet.transfers.sender import CHUNK_BYTES

log = logging.getLogger(__name__)

PROOF_INTERVAL_US = 200_000
MAX_STREAMS = 16  # into one relay at once
MAX_OPEN_ATTEMPTS = 20  # for a partial file that a cancelled stream still holds
OPEN_RETRY_DELAY = 0.05  # seconds
MAX_QUOTED_CHARACTERS = 120  # of a fault, in the log


class Receiver(fleet_pb2_grpc.MovesServicer):
    """The server at which one relay receives what is sent to its site."""

    def __init__(
        self,
        fleet: str,
        me: str,
        site: str,
        arrivals: Arrivals,
        books: BooksClient,
        interval: int,
        limits: Limits,
        address: str,
    ) -> None:
        """`interval`: microseconds between two looks at a job. Raises OSError if the address is in use."""
        self.fleet = fleet
        self.me = me
        self.site = site
        self.arrivals = arrivals
        self.books = books
        self.interval = interval
        self.limits = limits
        self.closed = threading.Event()
        self.lock = threading.Lock()
        self.streams: dict[str, grpc.ServicerContext] = {}  # by job
        self.pool = ThreadPoolExecutor(MAX_STREAMS, thread_name_prefix="fleet-moves")
        self.server = grpc.server(self.pool, options=options(limits), maximum_concurrent_rpcs=MAX_STREAMS)
        fleet_pb2_grpc.add_MovesServicer_to_server(self, self.server)
        try:
            self.port = self.server.add_insecure_port(address)
        except RuntimeError as error:
            self.pool.shutdown()
            raise OSError(f"can't listen at {address}") from error
        self.sweeper = threading.Thread(target=self._sweep, name="fleet-moves-sweep", daemon=True)

    def start(self) -> None:
        """Begins to accept streams."""
        self.server.start()
        self.sweeper.start()

    def stop(self, grace: int) -> None:
        """Ends all streams, after `grace` microseconds at most."""
        self.closed.set()
        self.server.stop(grace / SECOND).wait()
        self.pool.shutdown()
        self.sweeper.join(grace / SECOND)

    # The call, named as in fleet.proto

    def Carry(self, chunks: Iterator[Message], context: grpc.ServicerContext) -> Iterator[Message]:  # noqa: N802
        """Receives one job's bytes from the first that is not proven, and yields what is proven."""
        sender, part, job = "", None, ""
        try:
            first = next(chunks)
            sender = codec.check(first, self.fleet, self.me)
            fence, job = codec.from_message(Fence, first.fence), first.job
            view = self._check_owner(job, fence)
            part = self._open_partial(job, view.job.size, context)
            proven = self._provable(part)
            log.info("stream begins", extra={"job": job, "at_byte": proven, "sender": sender})
            yield self._proof(sender, proven)
            yield from self._receive(chunks, context, part, fence, view, sender)
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
                if self.streams.get(job) is context:
                    del self.streams[job]

    def _receive(
        self,
        chunks: Iterator[Message],
        context: grpc.ServicerContext,
        part: PartialFile,
        fence: Fence,
        view: views.TransferView,
        sender: str,
    ) -> Iterator[Message]:
        limiter = self._limiter(view)
        checked_at = proved_at = ready_at = self.books.clock()
        own_delay = 0
        for chunk in chunks:
            now = self.books.clock()
            own_delay -= min(own_delay, now - ready_at)
            if now >= checked_at + self.interval:
                new_view = self._check_owner(part.job, fence)
                if new_view.pieces != view.pieces:
                    limiter = self._limiter(new_view)
                view, checked_at = new_view, self.books.clock()
            # What arrived while this end asked the keepers or wrote to disk had to wait: not the sender's
            # fault.
            own_delay = max(own_delay, self.books.clock() - now)
            limiter.burst = RECEIVER_SLACK_US + own_delay
            self._check_chunk(chunk, part, limiter)
            with self.lock:
                if self.streams.get(part.job) is not context:
                    raise JobHeldError(part.job, session=fence.session)
            part.write(chunk.data)
            if chunk.whole:
                self._check_whole(part, chunk.whole)
                yield self._proof(sender, part.size)
                return
            if now >= proved_at + PROOF_INTERVAL_US:
                part.sync()
                proved_at = now
                yield self._proof(sender, self._provable(part))
            ready_at = self.books.clock()
            own_delay = max(own_delay, ready_at - now)

    def _limiter(self, view: views.TransferView) -> RateLimiter:
        return receiver_limiter(view.pieces, SLICE_US, self.books.now() - RECEIVER_SLACK_US, CHUNK_BYTES)

    def _check_chunk(self, chunk: Message, part: PartialFile, limiter: RateLimiter) -> None:
        if not limiter.take(self.books.now(), len(chunk.data)):
            raise TooFastError(part.job, bytes=len(chunk.data))
        if chunk.offset != part.offset or part.offset + len(chunk.data) > part.size:
            raise OutOfOrderError(part.job, state=f"at {part.offset}", order=f"bytes of {chunk.offset}")
        if zlib.crc32(chunk.data) != chunk.crc:
            raise WrongBytesError(part.job, offset=chunk.offset)

    @staticmethod
    def _check_whole(part: PartialFile, digest: bytes) -> None:
        part.sync()
        if part.offset != part.size or part.digest() != digest:
            part.discard()
            raise WrongBytesError(part.job, offset=0)

    def _proof(self, sender: str, proven: int) -> Message:
        return wire.Proof(head=codec.head(self.fleet, self.me, sender), proven=proven)

    @staticmethod
    def _provable(part: PartialFile) -> int:
        """Returns how many bytes are proven: the last one only by the digest of all bytes."""
        return min(part.proven, part.size - 1)

    def _check_owner(self, job: str, fence: Fence) -> views.TransferView:
        transfers = self.books.look_up(job)
        if not transfers.views:
            raise NoSuchJobError(job, end=transfers.ended)
        view = transfers.views[0]
        if view.owner != fence:
            raise FencedOffError(
                fence.name, session=fence.session, newer=view.owner.session if view.owner else 0
            )
        if view.state != RESERVED or view.job.to != self.site:
            raise OutOfOrderError(job, state=view.state, order=f"bytes for {self.site}")
        return view

    def _open_partial(self, job: str, size: int, context: grpc.ServicerContext) -> PartialFile:
        """Opens a job's partial file; an earlier stream, of a former owner or cut off, is cancelled."""
        with self.lock:
            earlier = self.streams.pop(job, None)
            self.streams[job] = context
        if earlier is not None:
            earlier.cancel()
        for _ in range(MAX_OPEN_ATTEMPTS):
            try:
                return self.arrivals.open_partial(job, size)
            except JobHeldError:
                if earlier is None or self.closed.wait(OPEN_RETRY_DELAY):
                    raise
        raise JobHeldError(job, session=0)

    # Copies

    def _sweep(self) -> None:
        """Publishes copies and deletes files of jobs that ended otherwise, whatever became of the stream."""
        while not self.closed.wait(self.interval / SECOND):
            try:
                for job in self.arrivals.partial_jobs():
                    self._sweep_job(job)
            except (FleetError, OSError, ValueError) as error:
                log.info("parts wait", extra={"fault": str(error)[:MAX_QUOTED_CHARACTERS]})

    def _sweep_job(self, job: str) -> None:
        with self.lock:
            if job in self.streams:
                return
        ended = self.books.look_up(job).ended
        if ended == COMMITTED:
            if self.arrivals.publish(job):
                log.info("copy is here", extra={"job": job})
        elif ended in END_STATES:
            self.arrivals.delete_partial(job)
