"""The fleet's settings: what is accepted, and the file, line and reason of what is not."""

import re
from pathlib import Path

import pytest
from click.testing import CliRunner
from conftest import ROOT

from laurelcourse import cli
from laurelcourse.fleet import terms
from laurelcourse.fleet.books.forms import Budget
from laurelcourse.fleet.keeper.messages import Bounds
from laurelcourse.operator import reading, settings

EXAMPLE = (ROOT / "deploy" / "fleet.xml").read_text()
NO_BUDGETS = re.sub(r"<budget [^>]*/>", "", EXAMPLE)
FLEET = EXAMPLE[EXAMPLE.index("<fleet name") :].split(">")[0]


def read(folder: Path, text: str) -> settings.Fleet | list[str]:
    path = folder / "fleet.xml"
    path.write_text(text)
    try:
        return reading.read(str(path)).fleet
    except reading.OperatorError as error:
        return str(error).splitlines()


def test_the_example_becomes_terms_with_units_and_defaults(tmp_path: Path) -> None:
    fleet = read(tmp_path, EXAMPLE)
    fleet_terms = terms.terms(fleet)
    assert (
        fleet_terms.fleet,
        fleet_terms.lease,
        fleet_terms.renew_interval,
        fleet_terms.drift,
        fleet_terms.sessions,
    ) == (
        "agenda",
        12_000_000,
        2_500_000,
        1000,
        1000,
    )
    assert fleet_terms.bounds == Bounds(250_000, 1_250_000, 256 << 10, 16, 256 << 10, 4096)
    assert fleet_terms.keepers.voters == ("r-1", "r-2", "r-3") and fleet_terms.snapshot_every == 4096
    assert fleet_terms.budgets == (
        Budget("cold-work", "rate", 24, 0, 250, 0, 0),
        Budget("connections", "level", 500, 1, 250, 0, 30_030_001),
        Budget("directory-calls", "count", 1000, 4, 250, 10_010_001, 0),
        Budget("resends", "rate", 2000, 2, 250, 0, 0),
    )
    assert terms.address_of(fleet, "r-2") == ("127.0.0.2", 7402) and terms.address_of(fleet, "r-9") is None
    assert terms.site_of(fleet, "r-3", "x") == "c" and terms.site_of(fleet, "r-9", "x") == "x"
    assert [(budget.scope, budget.when_used_up) for budget in fleet.budgets] == [
        ("fleet", "shed"),
        ("unit", "other"),
        ("unit", "other"),
        ("fleet", "wait"),
    ]


def test_check_takes_the_example_and_says_what_it_holds() -> None:
    path = ROOT / "deploy" / "fleet.xml"
    ran = CliRunner().invoke(cli.main, ["check", "-o", str(path)])
    assert (ran.exit_code, ran.output) == (0, f"{path}: good: 0 fronts, 3 keepers, 4 budgets, 1 workflows\n")


def test_the_order_in_the_file_changes_nothing_in_the_terms(tmp_path: Path) -> None:
    lines = re.findall(r"<(?:keeper|budget) [^>]*/>", EXAMPLE)
    other = EXAMPLE.replace(lines[0], "@").replace(lines[2], lines[0]).replace("@", lines[2])
    other = other.replace(lines[3], "@").replace(lines[5], lines[3]).replace("@", lines[5])
    assert other != EXAMPLE
    assert terms.terms(read(tmp_path, other)) == terms.terms(read(tmp_path, EXAMPLE))


def without(*names: str) -> str:
    return re.sub(rf'<keeper name="({"|".join(names)})"[^>]*/>', "", EXAMPLE)


@pytest.mark.parametrize(
    "text",
    [
        re.sub('site="."', 'site="a"', EXAMPLE).replace('drift="1000"', 'drift="1000" spread="false"'),
        without("r-2", "r-3").replace('drift="1000"', 'drift="200000" alone="true"'),
        EXAMPLE.replace('beat="2500ms"', 'beat="1.5s"'),
        NO_BUDGETS,
        EXAMPLE.replace('floor="2" relays="250"', 'floor="8" relays="250"'),
        EXAMPLE.replace('name="agenda"', 'name="agenda" listen="127.0.0.9:1"'),
    ],
)
def test_values_at_their_limits_are_accepted(tmp_path: Path, text: str) -> None:
    assert text != EXAMPLE and isinstance(read(tmp_path, text), settings.Fleet)


BUDGET = '<budget name="resends"'


# What stands in the example, what instead, and what must be said of that line.
@pytest.mark.parametrize(
    "old, new, words",
    [
        ('name="r-2"', 'name="r-1"', "keeper r-1 stands twice, first on line"),
        ("127.0.0.2:7402", "127.0.0.2:7401", "keeper address 127.0.0.2:7401 stands twice"),
        ("127.0.0.2:7402", "127.0.0.2:0", "127.0.0.2:0 is no address: parts go up to 255, ports from 1"),
        ("127.0.0.2:7402", "127.0.0.256:7402", "is no address"),
        ("127.0.0.2:7402", "keeper.example:7402", "should be an IPv4 address and a port"),
        ('name="agenda"', 'name="agenda" listen="127.0.0.2:0"', "127.0.0.2:0 is no address"),
        ('name="agenda"', 'name="agenda" alone="true"', "name one, or drop alone"),
        (' folder="/var/lib/laurelcourse/fleet"', "", "no folder: say where"),
        ('folder="/var/lib/laurelcourse/fleet"', 'folder="fleet.xml"', "is a file: name a folder"),
        ('beat="2500ms"', 'beat="3.1s"', "beat must be a quarter of the lease at most"),
        ('beat="2500ms"', 'beat="9ms"', "beat must be 10ms at least"),
        ('beat="2500ms"', 'beat="1"', "should be a time with its unit"),
        ('lease="12s"', 'lease="11min"', "lease must be 10min at most"),
        ('drift="1000"', 'drift="0"', "drift must be from 1 to 200000"),
        ('drift="1000"', 'drift="200001"', "drift must be from 1 to 200000"),
        ('sessions="1000"', 'sessions="2"', "each of 3 keepers holds one"),
        (BUDGET, '<bounds patience="3.6s"/>' + BUDGET, "must hold 2 times patience"),
        (BUDGET, '<bounds patience="299ms"/>' + BUDGET, "3 heartbeats at least"),
        (BUDGET, '<bounds heartbeat="3s"/>' + BUDGET, "no longer than the fleet's"),
        (BUDGET, '<bounds batch="4MiB"/>' + BUDGET, "batch must be from 4KiB to 3MiB"),
        (BUDGET, '<bounds waiting="2"/>' + BUDGET, "as many as there are keepers"),
        ('floor="2" relays="250"', 'floor="9" relays="250"', "over the whole of 2000: a floor of 8 at most"),
        ('whole="2000"', 'whole="0"', "whole of 0: it must be above"),
        ('relays="250"', 'relays="2"', "relays must be from 3, the keepers"),
        ('name="connections"', 'name="cold-work"', "budget cold-work stands twice"),
        (' window="10s"', "", "is a count without a window: say over what time"),
        ('kind="rate" whole', 'kind="rate" window="1s" whole', "is a rate with a window: only a count"),
        (' freed-after="30s"', "", "is a level without freed-after: say how long"),
        ('kind="rate" whole', 'kind="rate" freed-after="1s" whole', "with freed-after: only a level"),
        ('when-used-up="wait"', 'when-used-up="other"', "wants scope unit or site"),
        ('kind="count"', 'kind="counts"', "'rate', 'level', 'count'"),
        ('scope="fleet"', 'scope="region"', "'fleet', 'site', 'unit', 'tenant', 'route'"),
        ('when-used-up="wait"', 'when-used-up="queue"', "'other', 'wait', 'shed'"),
        ('whole="1000"', 'whole="many"', "not a valid value"),
        ('site="b"', 'place="b"', "attribute 'place' is not allowed"),
        ("<budget name", "<budgets name", "This element is not expected"),
    ],
)
def test_a_fault_is_named_with_its_line(tmp_path: Path, old: str, new: str, words: str) -> None:
    assert EXAMPLE.count(old) >= 1
    problems = read(tmp_path, EXAMPLE.replace(old, new, 1))
    at = [problem for problem in problems if words in problem]
    assert at, problems
    name, line, _ = at[0].split(":", 2)
    # Of a tag over two lines the parser tells the second.
    assert name == str(tmp_path / "fleet.xml")
    assert abs(int(line) - EXAMPLE[: EXAMPLE.index(old)].count("\n") - 1) <= 1


@pytest.mark.parametrize(
    "text, words",
    [
        (without("r-3"), "2 keepers: there must be 3 or 5"),
        (without("r-1", "r-2", "r-3"), "0 keepers"),
        (without("r-1", "r-2"), 'name 3 or 5, or say alone="true"'),
        (re.sub('site="."', 'site="a"', EXAMPLE), "all keepers are at site a: spread them over two sites"),
        (
            EXAMPLE.replace('sessions="1000"', 'sessions="249"'),
            "relays must be from 3, the keepers, to 249, the",
        ),
        (EXAMPLE.replace("</fleet>", f"</fleet>{FLEET}/>"), "This element is not expected"),
        (EXAMPLE.replace("</operator>", "<tuf/></operator>"), "attribute 'name' is required"),
    ],
)
def test_a_fault_of_the_whole_is_named(tmp_path: Path, text: str, words: str) -> None:
    problems = read(tmp_path, text)
    assert any(words in problem for problem in problems), problems


@pytest.mark.parametrize(
    "address, folder, words",
    [
        ("127.0.0.2:7401", "x", "is where front updates listens"),
        ("127.0.0.2:1", "x", ""),
        ("127.0.0.2:1", "/var/lib/laurelcourse/fleet", "folder /var/lib/laurelcourse/fleet stands twice"),
    ],
)
def test_a_fleet_and_fronts_stand_in_one_file(tmp_path: Path, address: str, folder: str, words: str) -> None:
    front = (ROOT / "deploy" / "operator.xml").read_text()
    front = front[front.index("<tuf ") : front.index("</operator>")].replace("127.0.0.2:8080", address)
    front = front.replace("</tuf>", f'<state folder="{folder}"/></tuf>')
    (tmp_path / "roots").mkdir()
    for name in ("image", "director"):
        (tmp_path / "roots" / f"{name}.json").write_text("{}")
    problems = read(tmp_path, EXAMPLE.replace("</operator>", f"{front}</operator>"))
    assert any(words in problem for problem in problems) if words else isinstance(problems, settings.Fleet), (
        problems
    )
