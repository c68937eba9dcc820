"""A lab's report: figures, and checks with their limits, as JSON or as a table."""

import json
import sys
import time
from typing import NamedTuple

from laurelcourse import VERSION

NAME_WIDTH = 36  # characters, in a table
VALUE_WIDTH = 12


class Check(NamedTuple):
    """A count of events that a stand-in or a client saw. It holds up to the limit, or from it on."""

    name: str
    value: float
    limit: float
    description: str
    at_least: bool = False

    @property
    def holds(self) -> bool:
        """Whether the value is within the limit."""
        return self.value >= self.limit if self.at_least else self.value <= self.limit


class Report(NamedTuple):
    """What one run of a lab found."""

    lab: str
    seed: int
    seconds: float
    figures: dict[str, float]
    checks: list[Check]

    @property
    def holds(self) -> bool:
        """Whether all checks hold."""
        return all(check.holds for check in self.checks)

    def as_json(self) -> str:
        """Returns the report as one line of JSON."""
        checks = [
            {
                "name": check.name,
                "value": check.value,
                "limit": check.limit,
                "holds": check.holds,
                "what": check.description,
            }
            for check in self.checks
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
        """Returns the report as lines for people."""
        lines = [f"lab {self.lab}, seed {self.seed}, {self.seconds:.1f} s, version {VERSION}", ""]
        lines += [f"  {name:{NAME_WIDTH}} {value:>{VALUE_WIDTH},}" for name, value in self.figures.items()]
        lines += ["", f"  {'check':{NAME_WIDTH}}{'value':>{VALUE_WIDTH}} {'limit':>{VALUE_WIDTH}}"]
        for check in self.checks:
            bound = f"{'>=' if check.at_least else '<='} {check.limit:g}"
            state = "holds" if check.holds else "BROKEN"
            lines.append(
                f"  {check.name:{NAME_WIDTH}} {check.value:>{VALUE_WIDTH}g} {bound:>{VALUE_WIDTH}}"
                f"  {state}: {check.description}"
            )
        return "\n".join([*lines, "", "  all checks hold" if self.holds else "  NOT ALL CHECKS HOLD"])


class Progress:
    """Lines on standard error, if it is a terminal."""

    def __init__(self) -> None:
        self.start = time.monotonic()
        self.shown = sys.stderr.isatty()

    def say(self, text: str) -> None:
        """Prints a line with the seconds since the start."""
        if self.shown:
            print(f"{time.monotonic() - self.start:6.1f} s  {text}", file=sys.stderr, flush=True)


def quantile(values: list[float], share: float) -> float:
    """Returns the value that this share of the values lies under or at; 0 of none."""
    ranked = sorted(values)
    return ranked[min(int(len(ranked) * share), len(ranked) - 1)] if ranked else 0.0
