"""The operators' settings: what is accepted, and the file, line and reason of what is not."""

import re
import subprocess
import sys
from pathlib import Path

import pytest
from conftest import ROOT

from laurelcourse.operator import reading

EXAMPLE = (ROOT / "deploy" / "operator.xml").read_text()


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    (tmp_path / "roots").mkdir()
    for name in ("image", "director"):
        (tmp_path / "roots" / f"{name}.json").write_text("{}")
    return tmp_path


def faults(folder: Path, text: str) -> list[str]:
    path = folder / "operator.xml"
    path.write_text(text)
    try:
        reading.read(str(path))
    except reading.OperatorError as error:
        return str(error).splitlines()
    return []


def test_the_example_is_taken_with_its_units_and_defaults(folder: Path) -> None:
    path = folder / "operator.xml"
    path.write_text(re.sub(r"<(rests|freshness) [^>]*/>", "", EXAMPLE))
    (front,) = reading.read(str(path)).fronts
    assert front.listen == ("127.0.0.2", 8080) and [mirror.name for mirror in front.mirrors.listed] == [
        "m-1",
        "m-2",
        "m-3",
    ]
    assert [(route.name, route.objective, route.timeout) for route in front.routes] == [
        ("metadata", 500_000, 3_000_000),
        ("target", 2_000_000, 120_000_000),
        ("manifest", 1_000_000, 5_000_000),
    ]
    assert front.limits.chunk == 65536 and front.limits.floor == 16384
    assert (front.exclusions.behind, front.exclusions.wrong, front.exclusions.most) == (
        2_000_000,
        30_000_000,
        0.5,
    )
    assert front.freshness.serve_proven == 3_600_000_000
    assert front.uptane.directed_only and front.release is None and front.folder is None


@pytest.mark.parametrize(
    "old, new, words",
    [
        ('timeout="3s"', 'timeout="30"', "'30' should be a time with its unit"),
        ('timeout="3s"', 'timeout="300ms"', "timeout under its latency-objective"),
        ('latency-objective="2s"', 'latency-objective="0s"', "has a time of 0"),
        ('name="m-2"', 'name="m-1"', "mirror m-1 stands twice, first on line 15"),
        ("127.0.0.3:8083", "127.0.0.3:8081", "mirror address 127.0.0.3:8081 stands twice"),
        ("127.0.0.3:8083", "127.0.0.2:8080", "it would ask itself"),
        ("127.0.0.3:8083", "127.0.0.300:8083", "is no address"),
        ("127.0.0.3:8083", "mirror.example:80", "should be an IPv4 address and a port"),
        ('root="roots/image.json"', 'root="roots/none.json"', "no pinned root at roots/none.json"),
        ('image="image"', 'image="images"', "names no repository 'images': one of director, image"),
        ('director="director"', 'director="image"', "only two can check each other"),
        ('targets="/image/targets/"', 'targets="/image/metadata/targets/"', "lies under /image/metadata/"),
        ('manifests="/director/manifest"', 'manifests="/director/metadata/m"', "which lies under"),
        ('memory="10min"', 'memory="0s"', "with a memory of 0"),
        ('chunk="64KiB"', 'chunk="1KiB"', "chunk must be from 4KiB to 1MiB"),
        ('files-per-client="8"', 'files-per-client="80"', "can't be over files"),
        ('serve-proven="1h"', 'serve-proven="10ms"', "serve-proven must be as long as ask-again"),
        ('wrong="30s"', 'wrong="1s"', "wrong must be as long as behind"),
        ('earnings="1"', 'earnings="0"', "earns nothing"),
        ('floor-over="1s"', 'floor-over="3min"', "no stall is seen"),
        ('<route name="manifest"', '<route name="target"', "route target stands twice"),
        ('earnings="2"', 'earning="2"', "attribute 'earning' is not allowed"),
        ("</tuf>", "</tuff>", "is not XML"),
        ("urn:laurelcourse:operator:1", "urn:other", "No matching global declaration"),
    ],
)
def test_a_fault_is_named_with_its_line(folder: Path, old: str, new: str, words: str) -> None:
    text = EXAMPLE.replace(old, new, 1)
    line = EXAMPLE[: EXAMPLE.index(old)].count("\n") + 1
    problems = faults(folder, text)
    at = [problem for problem in problems if words in problem]
    assert len(problems) >= 1 and at, problems
    assert at[0].startswith(f"{folder / 'operator.xml'}:")
    if words.startswith(("'30'", "mirror", "timeout", "it would", "no pinned")):
        assert int(at[0].split(":")[1]) == line


def test_every_fault_is_told_at_once_in_the_order_of_lines(folder: Path) -> None:
    text = EXAMPLE.replace('name="m-2"', 'name="m-1"').replace('chunk="64KiB"', 'chunk="2MiB"')
    problems = faults(folder, text.replace('bytes="16MiB"', 'bytes="1KiB"'))
    lines = [int(problem.split(":")[1]) for problem in problems]
    assert len(problems) == 3 and lines == sorted(lines)


def test_check_names_the_file_and_ends_with_2(folder: Path) -> None:
    path = folder / "operator.xml"
    for text, status in ((EXAMPLE, 0), (EXAMPLE.replace('name="m-2"', 'name="m-1"'), 2)):
        path.write_text(text)
        ran = subprocess.run(
            [sys.executable, "-m", "laurelcourse", "check", "-o", str(path)],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=30,
            check=False,
        )
        assert ran.returncode == status and str(path) in ran.stdout + ran.stderr
