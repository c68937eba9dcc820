"""The program. A relay's signals are held before anything else is imported, which takes most of its start."""

import sys

from laurelcourse.net import signals

if sys.argv[1:2] == ["serve"]:
    signals.hold()

from laurelcourse.cli import main

main(prog_name="laurelcourse")
