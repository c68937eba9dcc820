"""A relay with one guard taken out, to show that a check of a lab can fail: LAB GUARD, then a command."""

import sys

from laurelcourse.cli import main as command
from laurelcourse.lab.guards import GUARDS


def main() -> None:
    lab, guard = sys.argv[1:3]
    del sys.argv[1:3]
    GUARDS[lab][guard]()
    command()


if __name__ == "__main__":
    main()
