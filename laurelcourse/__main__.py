"""The program. Signals are held first, since importing the rest takes most of a relay's start."""

import sys

from laurelcourse.net import signals

if sys.argv[1:2] == ["serve"]:
    signals.hold()

from laurelcourse.cli import main

main(prog_name="laurelcourse")
