"""Reads the simulator's events on standard input and writes the module's actions to standard output."""

import sys

from laurelcourse.benchlink.framing import WireError
from laurelcourse.benchlink.host import serve

EXIT_INTERRUPTED = 1
EXIT_UNREADABLE_INPUT = 2


def main() -> int:
    """Serves until the input ends; returns the exit status."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"benchlink: {error}", file=sys.stderr)
        return EXIT_UNREADABLE_INPUT
    except (BrokenPipeError, KeyboardInterrupt):
        return EXIT_INTERRUPTED
    return 0


if __name__ == "__main__":
    sys.exit(main())
