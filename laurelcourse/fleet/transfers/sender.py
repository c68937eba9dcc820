"""Sends the bytes of one transfer job to a relay of another site: one gRPC stream in a thread of its own.

The sender keeps to the reserved rate (`rate_limiter.py`) and stops when its lease ends.
"""

import threading
import zlib
from collections.abc import Callable, Iterator
from pathlib import Path

import grpc
from google.protobuf.message import Message

from laurelcourse.fleet.books.state import SLICE_US
from laurelcourse.fleet.calls import codec, fleet_pb2_grpc
from laurelcourse.fleet.calls import fleet_pb2 as wire
from laurelcourse.fleet.calls.channel import SECOND, Limits, options
from laurelcourse.fleet.errors import FleetError, NoQuorumError, StoppingError, error_from_code
from laurelcourse.fleet.transfers import views
from laurelcourse.fleet.transfers.arrivals import file_digest
from laurelcourse.fleet.transfers.books_client import BooksClient
from laurelcourse.fleet.transfers.rate_limiter import sender_limiter

CHUNK_BYTES = 16 << 10


class Sender(threading.Thread):
    """Sends one job's bytes.

    `on_report(job, proven or error, sender)` is called from this thread, which ends by itself once all is
    proven, nothing is reserved any more, `until` has passed or `stop` is set.
    """

    def __init__(
        self,
        fleet: str,
        me: str,
        to: tuple[str, str],
        view: views.TransferView,
        source: Path,
        books: BooksClient,
        limits: Limits,
        on_report: Callable[[str, "int | FleetError", "Sender"], None],
        until: int,
    ) -> None:
        """`to`: the receiving relay's name and address; `until`: the end of the lease, by the clock of
        `books`.
        """
        super().__init__(name=f"fleet-send-{view.job.name}", daemon=True)
        self.fleet = fleet
        self.me = me
        self.to = to
        self.view = view
        self.source = source
        self.books = books
        self.limits = limits
        self.on_report = on_report
        self.until = until
        self.stop = threading.Event()
        self.may_begin = threading.Event()  # the receiver has told from which byte on
        self.first_byte = 0
        self.ended = False

    def run(self) -> None:
        """Sends until the stream ends, and reports."""
        job, error = self.view.job.name, None
        channel = grpc.insecure_channel(self.to[1], options(self.limits))
        call = None
        try:
            call = fleet_pb2_grpc.MovesStub(channel).Carry(self._chunks())
            for proof in call:
                self._take_proof(proof)
                self.on_report(job, proof.proven, self)
        except grpc.RpcError as rpc_error:
            if self.stop.is_set():
                error = StoppingError(self.to[0])
            else:
                error = NoQuorumError(f"{self.to[0]} ({rpc_error.code().name.lower()})")
        except FleetError as fleet_error:
            error = fleet_error
        finally:
            self.ended = True
            self.stop.set()
            self.may_begin.set()
            if call is not None:
                call.cancel()
            channel.close()
        if error is not None:
            self.on_report(job, error, self)

    def _take_proof(self, proof: Message) -> None:
        codec.check(proof, self.fleet, self.me)
        if proof.HasField("refused"):
            done = codec.from_message(codec.books.Done, proof.refused)
            raise error_from_code(done.code, done.to, dict(done.told))
        if not self.may_begin.is_set():
            self.first_byte = proof.proven
            self.may_begin.set()

    def _chunks(self) -> Iterator[Message]:
        view = self.view
        yield wire.Chunk(
            head=codec.head(self.fleet, self.me, self.to[0]),
            job=view.job.name,
            fence=codec.to_message(view.owner),
        )
        self.may_begin.wait()
        limiter = sender_limiter(view.pieces, SLICE_US, self.books.now(), CHUNK_BYTES)
        offset, size = self.first_byte, view.job.size
        digest = file_digest(self.source)
        with self.source.open("rb") as file:
            file.seek(offset)
            while offset < size and not self.stop.is_set():
                now, length = self.books.now(), min(CHUNK_BYTES, size - offset)
                while not (due := limiter.due(now, length)) and length > 1:
                    length //= 2  # what is left of the stretch carries less than a chunk
                data = file.read(length)
                if not data or not due:
                    return
                # The lease is checked before each chunk: a sender that wakes from a pause sends no more.
                if self.stop.wait(max(0, due - now) / SECOND) or self.books.clock() >= self.until:
                    return
                if not limiter.take(self.books.now(), len(data)):
                    file.seek(offset)
                    continue
                is_last = offset + len(data) == size
                yield wire.Chunk(
                    offset=offset, data=data, crc=zlib.crc32(data), whole=digest if is_last else b""
                )
                offset += len(data)
