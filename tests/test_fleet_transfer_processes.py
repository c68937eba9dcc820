"""Transfers between real relay processes: whole copies, deaths at either end, refused streams."""

import os
import zlib
from collections.abc import Callable, Iterator
from hashlib import blake2b
from pathlib import Path

import grpc
import pytest
from conftest import ROOT

from laurelcourse.fleet import terms
from laurelcourse.fleet.books import forms
from laurelcourse.fleet.books.state import SLICE_US
from laurelcourse.fleet.calls import codec, fleet_pb2_grpc
from laurelcourse.fleet.calls import fleet_pb2 as wire
from laurelcourse.fleet.calls.channel import limits
from laurelcourse.fleet.calls.client import Client
from laurelcourse.fleet.orders import Question, Submit
from laurelcourse.fleet.transfers import views
from laurelcourse.fleet.transfers.arrivals import Arrivals
from laurelcourse.fleet.wiring import clock, join_address
from laurelcourse.lab.cluster import Cluster
from laurelcourse.operator import reading
from laurelcourse.prng import Prng
from laurelcourse.standins.base import wait_until
from laurelcourse.standins.ports import reserve_port

KEEPERS, MEMBERS = {"k1": "a", "k2": "b", "k3": "c"}, {"m1": "a", "m2": "a", "m3": "b"}
MIB = 1 << 20
CHUNK = 16 << 10


class Fleet(Cluster):
    def __init__(self, folder: Path) -> None:
        self.folder, self.doors = folder, {name: reserve_port() for name in MEMBERS}
        doors = {
            site: "".join(
                f'<door relay="{name}" address="127.0.0.1:{self.doors[name]}"/>'
                for name, at in MEMBERS.items()
                if at == site
            )
            for site in "ab"
        }
        moves = "".join(
            f'<site name="{site}" slots="4" folder="{folder}/{site}">{doors[site]}</site>' for site in "ab"
        ) + "".join(
            f'<link origin="{origin}" to="{to}" capacity="2MiB" kept="1MiB"/>' for origin, to in ("ab", "ba")
        )
        super().__init__(folder, KEEPERS, MEMBERS, transfers_xml=moves)
        settings = reading.read(str(folder / "m1" / "operator.xml")).fleet
        self.terms = terms.terms(settings)
        self.limits = limits(self.terms)
        self.client = Client(
            "lab",
            "test",
            {keeper.name: join_address(keeper.address) for keeper in settings.keepers},
            self.limits,
            clock,
            Prng(1),
        )

    def close(self) -> None:
        self.client.close(1_000_000)
        super().close()

    def asked(self, ask: Callable, what: object) -> object:
        answers: list = []
        ask(what, answers.append)
        wait_until(lambda: answers, 10)
        return answers[0]

    def look(self, job: str) -> views.TransferList:
        return views.from_plain(self.asked(self.client.ask, Question("move", job)).value)

    def given(self, *commands: forms.Command) -> tuple[forms.Done, ...]:
        return self.asked(self.client.submit, Submit(commands))

    def lay(self, name: str, size: int, earnings: int = 5, within: int = 30_000_000) -> bytes:
        data = os.urandom(size)
        (self.folder / "a" / name).write_bytes(data)
        (self.folder / "a" / f"{name}.job").write_text(
            f'<job firm="f" to="b" within="{within}" earnings="{earnings}" slots="1"/>'
        )
        return data

    def logs(self, words: str, job: str) -> list[tuple[str, str]]:
        return [
            (name, line)
            for name in MEMBERS
            for line in self.nodes[name].log.read_text().splitlines()
            if words in line and f"job={job}" in line.split()
        ]

    def copy(self, name: str) -> Path:
        return self.folder / "b" / "in" / name


EXAMPLE = (ROOT / "deploy" / "fleet.xml").read_text()


# What stands in the example, what instead, and what must be said of that line.
@pytest.mark.parametrize(
    "old, new, words",
    [
        ('to="b" capacity', 'to="a" capacity', "a link from a to itself"),
        ('to="b" capacity', 'to="x" capacity', "no site x"),
        ('<link origin="b" to="a"', '<link origin="a" to="b"', "link a>b stands twice"),
        ('kept="4MiB"', 'kept="16MiB"', "nothing is left for transfers"),
        ('capacity="16MiB" kept="4MiB"', 'capacity="0B"', "without capacity"),
        ('<site name="b"', '<site name="a"', "site a stands twice"),
        ("transfers-b", "transfers-a", "folder /var/lib/laurelcourse/transfers-a stands twice"),
        ('relay="r-2" a', 'relay="r-1" a', "door of relay r-1 stands twice"),
        ("127.0.0.2:7502", "127.0.0.2:7402", "address 127.0.0.2:7402 stands twice"),
        ("127.0.0.2:7502", "127.0.0.2:70000", "is no address"),
        ("/var/lib/laurelcourse/transfers-b", "fleet.xml", "is a file"),
    ],
)
def test_invalid_settings_are_reported_with_their_line(
    tmp_path: Path, old: str, new: str, words: str
) -> None:
    path = tmp_path / "fleet.xml"
    head, matched, rest = EXAMPLE.partition(old)
    assert matched
    path.write_text(head + new + rest)
    with pytest.raises(reading.OperatorError) as error:
        reading.read(str(path))
    results = [line for line in str(error.value).splitlines() if words in line]
    assert results and f":{head.count(chr(10)) + 1}:" in results[0]


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    with Fleet(tmp_path_factory.mktemp("moves")) as started:
        started.start()
        # Places are in the books, and both sites' relays have sessions.
        wait_until(
            lambda: all(
                started.asked(started.client.ask, Question("session", name)).value for name in MEMBERS
            ),
            20,
        )
        yield started


def test_a_copy_arrives_whole_and_frees_its_reservations(fleet: Fleet) -> None:
    data = fleet.lay("whole", MIB)
    wait_until(fleet.copy("whole").exists, 12)
    assert fleet.copy("whole").read_bytes() == data
    assert fleet.look("whole").ended == "committed" and not fleet.look("whole").views
    assert len(fleet.logs("copy is here", "whole")) == 1


def test_a_killed_senders_job_goes_on_elsewhere_from_the_byte_proven(fleet: Fleet) -> None:
    data = fleet.lay("killed", 3 * MIB)
    wait_until(lambda: any(view.proven > MIB // 2 for view in fleet.look("killed").views), 12)
    dead = fleet.look("killed").views[0].owner.name
    fleet.nodes[dead].kill()
    wait_until(fleet.copy("killed").exists, 20)
    fleet.nodes[dead].start()
    assert fleet.copy("killed").read_bytes() == data
    ((name, line),) = fleet.logs("transfer taken over", "killed")
    proven = int(line.split("proven=")[1].split()[0])
    begun = [int(line.split("at_byte=")[1].split()[0]) for _, line in fleet.logs("stream begins", "killed")]
    assert name != dead and proven > MIB // 2 and begun[-1] >= proven


def test_a_receiver_killed_before_and_after_the_rename_shows_one_copy(fleet: Fleet) -> None:
    inside, aside = fleet.folder / "b" / "in", fleet.folder / "b" / "aside"
    inside.rename(aside)
    inside.touch()  # no rename can succeed from now on
    try:
        data = fleet.lay("shown", MIB // 2)
        wait_until(lambda: fleet.look("shown").ended == "committed", 15)
        fleet.nodes["m3"].kill()
    finally:
        inside.unlink()
        aside.rename(inside)
    assert not fleet.copy("shown").exists()
    fleet.nodes["m3"].start()
    wait_until(lambda: fleet.logs("copy is here", "shown"), 10)
    before = fleet.copy("shown").stat()
    fleet.nodes["m3"].restart(wait=True)
    wait_until(lambda: fleet.asked(fleet.client.ask, Question("session", "m3")).value, 10)
    assert fleet.copy("shown").stat() == before
    assert fleet.copy("shown").read_bytes() == data
    assert len(fleet.logs("copy is here", "shown")) == 1
    assert not Arrivals(fleet.folder / "b").partial_jobs()


def test_a_job_without_a_link_is_reported_once_by_each_relay(fleet: Fleet) -> None:
    (fleet.folder / "a" / "unlinked").write_bytes(b"x")
    (fleet.folder / "a" / "unlinked.job").write_text('<job firm="f" to="c" within="9000000" earnings="1"/>')

    def told() -> list[tuple[str, bool]]:
        return [
            (name, "fault=no_direct_link" in line and "a>c" in line)
            for name in MEMBERS
            for line in fleet.nodes[name].log.read_text().splitlines()
            if "transfer can't go" in line and "to=unlinked" in line.split()
        ]

    assert wait_until(lambda: len(told()) == 2 and told(), 10) == [("m1", True), ("m2", True)]
    (fleet.folder / "a" / "unlinked.job").unlink()


def chunks(
    fence: forms.Fence, job: str, data: bytes, *, spoiled: bool = False, whole: bytes = b"", at: int = 0
) -> Iterator[wire.Chunk]:
    yield wire.Chunk(head=codec.head("lab", "test", "m3"), fence=codec.to_message(fence), job=job)
    for first in range(0, len(data), CHUNK):
        part = data[first : first + CHUNK]
        last = first + CHUNK >= len(data)
        yield wire.Chunk(
            offset=at + first, data=part, crc=zlib.crc32(part) ^ spoiled, whole=whole if last else b""
        )


# Rate in chunks a second, bytes sent, how, and what is refused; "" where all is proven.
@pytest.mark.parametrize(
    "name, rate, sent, how, code",
    [
        ("beyond", 4, 60 * CHUNK, {}, "too_fast"),
        ("within", 16, 2 * CHUNK, {}, ""),
        ("spoiled", 16, 2 * CHUNK, {"spoiled": True}, "wrong_bytes"),
        ("other", 16, 2 * CHUNK, {"whole": b"x"}, "wrong_bytes"),
        ("ahead", 16, 2 * CHUNK, {"at": 1}, "out_of_order"),
        ("foreign", 16, 2 * CHUNK, {"session": 1}, "fenced_off"),
    ],
)
def test_a_stream_is_refused_by_type(
    fleet: Fleet, name: str, rate: int, sent: int, how: dict, code: str
) -> None:
    fence = forms.Fence(*fleet.given(forms.Command(None, 7, forms.Open(name, "a")))[0].value)
    first = fleet.look("none").time // SLICE_US + 1
    job = forms.Job(name, "f", "a", "b", sent, 0, (first + 40) * SLICE_US, 1, 0)
    length = -(-sent // (rate * CHUNK))
    piece = forms.Stretch(first, first + length, rate * CHUNK, ("a", "b"))
    (done,) = fleet.given(forms.Command(fence, 1, forms.Reserve(job, (piece,))))
    assert not done.code, done
    wait_until(lambda: fleet.look("none").time >= first * SLICE_US)
    data = bytes(sent)
    how = {"whole": blake2b(data, digest_size=32).digest()} | how
    session = fence.session
    fence = fence._replace(session=how.pop("session", fence.session))
    with grpc.insecure_channel(f"127.0.0.1:{fleet.doors['m3']}") as channel:
        proofs = list(fleet_pb2_grpc.MovesStub(channel).Carry(chunks(fence, name, data, **how)))
    assert proofs[-1].refused.code == code
    assert (proofs[-1].proven == sent) == (code == "")
    fleet.given(forms.Command(fence._replace(session=session), 2, forms.Free(name)))
    assert not fleet.copy(name).exists()  # proven or not, without the books' Commit there is no copy


def test_a_shrunk_link_recalls_the_job_that_earns_least(fleet: Fleet) -> None:
    # At 1 MiB/s "high" holds the link for 6 s: "low" is planned behind it and shrunk before it begins.
    high = fleet.lay("high", 6 * MIB, 50)
    wait_until(lambda: fleet.look("high").views, 10)
    low = fleet.lay("low", MIB, 1)
    wait_until(lambda: fleet.look("low").views, 10)
    first = fleet.look("low").views[0].pieces[0].first
    (done,) = fleet.given(forms.Command(None, 0, forms.Shrink("a>b", MIB + MIB // 2, first)))
    assert not done.code, done
    wait_until(lambda: fleet.logs("transfer recalled", "low") or fleet.look("low").ended, 10)
    wait_until(lambda: fleet.copy("high").exists() and fleet.copy("low").exists(), 28)
    assert fleet.copy("low").read_bytes() == low and fleet.copy("high").read_bytes() == high
    assert len(fleet.logs("transfer recalled", "low")) == 1 and not fleet.logs("transfer recalled", "high")
