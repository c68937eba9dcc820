"""A lab's report: figures, checks with their limits, as JSON or as a table for people."""

import json
import sys
import time
from typing import NamedTuple

from laurelcourse import VERSION


class Check(NamedTuple):
    """A count of events that a stand-in or a client saw. It holds up to the limit, or from it on."""

    name: str
    value: float
    limit: float
    what: str
    at_least: bool = False

    @property
    def holds(self) -> bool:
        return self.value >= self.limit if self.at_least else self.value <= self.limit


class Report(NamedTuple):
    lab: str
    seed: int
    seconds: float
    figures: dict[str, float]
    checks: list[Check]

    @property
    def holds(self) -> bool:
        return all(one.holds for one in self.checks)

    def as_json(self) -> str:
        checks = [
            {"name": one.name, "value": one.value, "limit": one.limit, "holds": one.holds, "what": one.what}
            for one in self.checks
        ]
        return json.dumps(
            {
                "lab": self.lab,
                "seed": self.seed,
                "seconds": round(self.seconds, 1),
                "version": VERSION,
                "holds": self.holds,
                "figures": self.figures,
                "checks": checks,
            }
        )

    def as_table(self) -> str:
        lines = [f"lab {self.lab}, seed {self.seed}, {self.seconds:.1f} s, version {VERSION}", ""]
        lines += [f"  {name:36} {value:>12,}" for name, value in self.figures.items()]
        lines += ["", "  check" + " " * 31 + "       value        limit"]
        for one in self.checks:
            bound = f"{'>=' if one.at_least else '<='} {one.limit:g}"
            state = "holds" if one.holds else "BROKEN"
            lines.append(f"  {one.name:36} {one.value:>12g} {bound:>12}  {state}: {one.what}")
        return "\n".join([*lines, "", "  all checks hold" if self.holds else "  NOT ALL CHECKS HOLD"])


class Progress:
    """Lines on standard error for whoever watches a terminal."""

    def __init__(self) -> None:
        self.began, self.shown = time.monotonic(), sys.stderr.isatty()

    def say(self, words: str) -> None:
        if self.shown:
            print(f"{time.monotonic() - self.began:6.1f} s  {words}", file=sys.stderr, flush=True)


def part(values: list[float], share: float) -> float:
    """The value that this share of them lies under or at; 0 of none."""
    ranked = sorted(values)
    return ranked[min(int(len(ranked) * share), len(ranked) - 1)] if ranked else 0.0
