"""Runs a relay with one of its guards removed, to show that a check of a lab can fail.

Usage: python -m laurelcourse.lab.without_guard LAB GUARD COMMAND...
"""

import sys

from laurelcourse.cli import main as run_command
from laurelcourse.lab.guards import GUARDS


def main() -> None:
    """Removes the guard that the arguments name, and runs the command."""
    lab, guard = sys.argv[1:3]
    del sys.argv[1:3]
    GUARDS[lab][guard]()
    run_command()


if __name__ == "__main__":
    main()
