"""Reads the simulator's wire on standard input and answers on standard output."""

import sys

from laurelcourse.benchlink.framing import WireError
from laurelcourse.benchlink.host import serve


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"benchlink: {error}", file=sys.stderr)
        return 2
    except (BrokenPipeError, KeyboardInterrupt):
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
