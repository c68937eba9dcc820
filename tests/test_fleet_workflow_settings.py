"""The workflows of the fleet's settings: what is accepted, and the file, line and reason of what is not."""

import re
from pathlib import Path

import pytest
from click.testing import CliRunner
from conftest import ROOT

from laurelcourse import cli
from laurelcourse.fleet.books import forms as f
from laurelcourse.fleet.books.apply import Books
from laurelcourse.fleet.workflows import definition as d
from laurelcourse.fleet.workflows import statements
from laurelcourse.operator import reading, workflows
from laurelcourse.settings import DEDUPED, GROUP_ALL, GROUP_CELL, GROUP_ZONE, NON_RETRIABLE, RETRIABLE, Route

ASK = "SELECT blob FROM rows WHERE handle = '%s'"
WORKFLOW = """<workflow-limits in-flight="500" by-tenant="50" behind="20" keeps="10min"/>
    <workflow name="booking" timeout="20s" tries="3" back-off="100ms" longest-back-off="150ms">
      <step name="room" route="hold" statement="ASK 'hold.{room}'" timeout="2s">
        <undo route="free" statement="ASK 'free.{room}'" timeout="1s"/>
      </step>
      <step name="look" route="look" statement="ASK 'look'" timeout="1s" effect="false"/>
      <step name="device" route="hold" statement="ASK 'hold.{device}'" timeout="2s">
        <undo route="keyed" statement="ASK 'free.{device}'" timeout="1s"/>
      </step>
      <step name="commit" route="keyed" statement="ASK 'commit'" timeout="1s" no-return="true" fails="never"/>
      <step name="notice" route="notice" statement="ASK 'tell'" timeout="1s" fails="harmless"/>
    </workflow>
  </fleet>""".replace("ASK ", "SELECT blob FROM rows WHERE handle = ")
EXAMPLE = (ROOT / "deploy" / "fleet.xml").read_text()
EXAMPLE = re.sub("<workflow.*</fleet>", lambda _: WORKFLOW, EXAMPLE, flags=re.DOTALL)
# Three tries of a second with waits of 100 and 150 ms lie in 3250 ms.
KINDS = {
    "hold": (NON_RETRIABLE, 0),
    "free": (RETRIABLE, 0),
    "look": (RETRIABLE, 0),
    "keyed": (DEDUPED, 3_250_000),
    "short": (DEDUPED, 3_249_999),
    "notice": (NON_RETRIABLE, 0),
    "lasting": (DEDUPED, d.MAX_DURATION_US),
    "longer": (DEDUPED, d.MAX_DURATION_US + 1),
}
ROUTES = [
    Route(name, 1, 2_000_000, 1.0, 0.0, repeat, GROUP_ALL, memory) for name, (repeat, memory) in KINDS.items()
]


def faults(folder: Path, text: str) -> list[str]:
    path = folder / "fleet.xml"
    path.write_text(text)
    try:
        fleet = reading.read(str(path)).fleet
    except reading.OperatorError as error:
        return str(error).splitlines()
    return [f"{path}:{fault.line}: {fault.message}" for fault in workflows.find_route_faults(fleet, ROUTES)]


@pytest.mark.parametrize(("group", "memory"), [(GROUP_ALL, 3_250_000), (GROUP_ZONE, 0), (GROUP_CELL, 0)])
def test_only_what_all_units_drop_is_remembered_by_a_definition(
    tmp_path: Path, group: str, memory: int
) -> None:
    """Guards against a step that is repeated at units that don't know its key."""
    routes = [route._replace(dedup_group=group) if route.name == "keyed" else route for route in ROUTES]
    path = tmp_path / "fleet.xml"
    path.write_text(EXAMPLE)
    definition = workflows.to_definitions(reading.read(str(path)).fleet, routes)["booking"]
    assert (definition.steps[2].undo.memory, definition.steps[3].send.memory) == (memory, memory)
    assert list(d.find_flaws(definition)) == []


def test_the_example_becomes_a_definition(tmp_path: Path) -> None:
    assert faults(tmp_path, EXAMPLE) == []
    fleet = reading.read(str(tmp_path / "fleet.xml")).fleet
    definition = workflows.to_definitions(fleet, ROUTES)["booking"]
    assert (
        definition.timeout,
        definition.tries,
        definition.back_off,
        definition.longest,
        definition.no_return_index(),
        definition.max_total_back_off(),
    ) == (
        20_000_000,
        3,
        100_000,
        150_000,
        3,
        250_000,
    )
    assert definition.steps[2] == d.Step(
        "device",
        d.Send("hold", ASK % "hold.{device}", 2_000_000, NON_RETRIABLE),
        d.Send("keyed", ASK % "free.{device}", 1_000_000, DEDUPED, 3_250_000),
    )
    assert [(step.effect, step.no_return, step.fails) for step in definition.steps] == [
        (True, False, "may"),
        (False, False, "may"),
        (True, False, "may"),
        (True, True, "never"),
        (True, False, "harmless"),
    ]
    assert (
        d.is_well_formed(definition)
        and d.from_plain(d.to_plain(definition)) == definition
        and not list(d.find_flaws(definition))
    )
    assert workflows.to_limits(fleet) == f.Limits(500, 50, 20, 600_000_000)


FREE, KEYED, COMMIT = 'undo route="free"', 'undo route="keyed"', 'no-return="true" fails="never"'


# What stands in the example, what instead, and what must be said of that line; no words: it is taken.
@pytest.mark.parametrize(
    "old, new, words",
    [
        ('timeout="1s" effect="false"', 'timeout="1s"', "step look has an effect but no undo"),
        (FREE, 'undo route="hold"', "goes by route hold, which may not be repeated"),
        (FREE, 'undo harmless="true" route="hold"', "goes by route hold, which may not be repeated"),
        (KEYED, 'undo route="short"', "may run later than the 3249ms"),
        (KEYED, 'undo harmless="true" route="short"', ""),
        (KEYED, 'undo route="lasting"', ""),
        (KEYED, 'undo route="longer"', "route longer knows repeats for over 1d"),
        (COMMIT, COMMIT.replace("never", "may"), ""),
        ('name="commit" route="keyed"', 'name="commit" route="short"', "can't be repeated until it is done"),
        ('name="commit" route="keyed"', 'name="commit" route="hold"', "can't be repeated until it is done"),
        ('timeout="1s" fails="harmless"', 'timeout="1s"', "step notice may fail for good behind the point"),
        ('timeout="1s" fails="harmless"', 'timeout="1s" fails="never"', "can't be repeated until it is done"),
        (
            'fails="harmless"',
            'fails="harmless" no-return="true"',
            "second point of no return, after step commit",
        ),
        (
            'name="room" route="hold"',
            'name="room" route="holds"',
            "no route holds: the platform has free, hold",
        ),
        (FREE, 'undo route="frees"', "no route frees"),
        ('timeout="2s"', 'timeout="2.001s"', "a timeout of 2001ms, route hold has 2000ms"),
        ('free.{room}\'" timeout="1s"', 'free.{room}\'" timeout="3s"', "of 3000ms, route free has 2000ms"),
        ('timeout="2s"', 'timeout="0s"', "a timeout of 0"),
        ('timeout="20s"', 'timeout="9s"', ""),
        ('timeout="20s"', 'timeout="8.999s"', "take up to 9000ms, its timeout is 8999ms"),
        ('name="device" route', 'name="room" route', "step room stands twice"),
        ('longest-back-off="150ms"', 'longest-back-off="99ms"', "no longer than longest-back-off"),
        ('tries="3"', 'tries="1001"', "tries must be from 1 to 1000"),
        ('by-tenant="50"', 'by-tenant="501"', "over in-flight, 500"),
        ('behind="20"', 'behind="501"', "bounds nothing"),
        ('keeps="10min"', 'keeps="0s"', "keeps must be above 0"),
        (f'statement="{ASK % "look"}"', 'statement=""', "length"),
        ('fails="harmless"', 'fails="often"', "'may', 'never', 'harmless'"),
        ('name="look" route="look"', 'name="look"', "attribute 'route' is required"),
    ],
)
def test_a_fault_is_named_with_its_line(tmp_path: Path, old: str, new: str, words: str) -> None:
    assert old in EXAMPLE
    problems = faults(tmp_path, EXAMPLE.replace(old, new, 1))
    if not words:
        assert problems == []
        return
    at = [problem for problem in problems if words in problem]
    assert at, problems
    assert int(at[0].split(":")[1]) == EXAMPLE[: EXAMPLE.index(old)].count("\n") + 1


GIVEN = [(("room", "r"), ("device", "d"), ("a", one), ("b", two)) for one, two in (("0", "0"), ("0", "00"))]
LOOK, UNDO = ASK % "look", ASK % "free.{room}"
PUT = "INSERT INTO rows (handle, blob) VALUES ('a', '\\x%s') RETURNING blob"


# What stands in the example, what instead, and what is said of it; nothing: it is taken.
STATEMENTS = [
    (LOOK, "LOOK", "step look can't be sent: not a statement that is served here"),
    (LOOK, LOOK + " /* id=1,c=look,d=5 */", "step look can't be sent: not a statement"),
    (LOOK, ASK % ("x" * 257), "step look can't be sent: not a statement"),
    (LOOK, ASK % "a\\b", "step look can't be sent: not a statement"),
    (LOOK, PUT % "0", "step look can't be sent: not a statement"),
    (LOOK, PUT % "0{a}{a}", "step look can't be sent: not a statement"),
    (LOOK, PUT % "{}", "step look can't be sent: not a statement"),
    (LOOK, "SELECT blob FROM {room} WHERE handle = 'a'", "step look can't be sent: not a statement"),
    (UNDO, UNDO.replace("WHERE", "IF"), "the undo of step room can't be sent: not a statement"),
    (UNDO, UNDO[:-1], "the undo of step room can't be sent: not a statement"),
    (LOOK, ASK % ("\u00e4" * 129), "step look can't be sent: not a statement"),
    (LOOK, PUT % ("{" + "\u00e4" * 480 + "}"), "a statement over 1024 bytes"),
    (LOOK, ASK % "a&#10;b", "with control characters"),
    (LOOK, ASK % "a\x7fb", "with control characters"),
    (f'{LOOK}" timeout="1s"', f'{LOOK}" timeout="999us"', "timeout must be from 1ms to 60min"),
    (f'{UNDO}" timeout="1s"', f'{UNDO}" timeout="999us"', "the undo of step room can't be sent: its timeout"),
    (f'{LOOK}" timeout="1s"', f'{LOOK}" timeout="3600.001s"', "timeout must be from 1ms to 60min"),
    (f'{LOOK}" timeout="1s"', f'{LOOK}" timeout="1ms"', ""),
    (LOOK, PUT % "0{a}{b}", ""),
    (LOOK, PUT % "{a}0{b}{b}", ""),
    (LOOK, PUT % "", ""),
    (LOOK, ASK % ("x" * 256), ""),
    (LOOK, ASK % ("x" * 255 + "{room}"), ""),
    (LOOK, ASK % "{a{room}", ""),
]


def begun(definition: d.Definition, values: tuple[tuple[str, str], ...]) -> str:
    """Returns the code with which a Start is refused, empty if it is not."""
    fault = statements.find_unfit(definition, values)
    if fault:
        return fault.code
    books = Books()
    fence = f.Fence(*books.apply(1, f.Batch(1, 1, (f.Command(None, 7, f.Open("r", "a")),)))[0].value)
    return books.apply(2, f.Batch(1, 1, (f.Command(fence, 1, f.Begin("t", "m", definition, values)),)))[
        0
    ].code


@pytest.mark.parametrize("old, new, words", STATEMENTS, ids=lambda one: one[:60])
def test_a_statement_that_no_start_would_take_is_named_with_its_line(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, old: str, new: str, words: str
) -> None:
    assert old in EXAMPLE
    path = tmp_path / "fleet.xml"
    path.write_text(EXAMPLE.replace(old, new, 1))
    ran = CliRunner().invoke(cli.main, ["check", "-o", str(path)])
    line = EXAMPLE[: EXAMPLE.index(old)].count("\n") + 1
    results = [
        splitline
        for splitline in ran.output.splitlines()
        if splitline.startswith(f"{path}:{line}: workflow booking: ")
    ]
    # What is begun with settings that nobody checked is refused then, and nothing else is.
    monkeypatch.setattr(reading.validation, "find_faults", lambda *_: [])
    definition = workflows.to_definitions(reading.read(str(path)).fleet, ROUTES)["booking"]
    taken = any(not begun(definition, values) for values in GIVEN)
    assert (ran.exit_code, bool(results), taken) == ((2, True, False) if words else (0, False, True)), (
        ran.output
    )
    assert not words or any(words in problem for problem in results), ran.output


def test_a_repeated_name_is_reported(tmp_path: Path) -> None:
    again = EXAMPLE[EXAMPLE.index("<workflow name") : EXAMPLE.index("  </fleet>")]
    problems = faults(tmp_path, EXAMPLE.replace("  </fleet>", again + "</fleet>"))
    assert any("workflow booking stands twice" in problem for problem in problems)
