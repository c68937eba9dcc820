"""An undo that is not harmless runs again after its owner was killed, when units have forgotten its mark."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from common import (
    BROKEN,
    HELD,
    TROUBLE,
    Booking,
    CannotRunError,
    Fleet,
    MarkMemory,
    Record,
    Unit,
    Work,
    final_answer,
    main,
    route,
    twice,
)

ZONE = "neihu"
MEMORY = 2.0  # seconds for which the units of a zone drop a repeat of a `book-slot` (plug-finder-tw)
WORK = 0.15  # seconds of work for a `book-slot`, which goes on when its connection ends
ROUTES = [
    route("nearby", "idempotent", 800.0, 3000.0, 2000.0, "zone"),
    route("route-plan", "idempotent", 1200.0, 4000.0, 2000.0, "zone"),
    route("book-slot", "deduplicated", 800.0, 3000.0, MEMORY * 1000, "zone"),
]
TIMES = 'lease="12s" beat="2500ms" spread="false"'  # lease and beat as in deploy/fleet.xml
STATEMENT = "SELECT blob FROM rows WHERE handle = '{}.{{mark}}'"


def step(name: str, undo: str) -> str:
    """Returns a step whose undo is not harmless.

    All tries of the undo are within the 2 s for which its repeats are known, or the check would refuse it:
    2 x 700 ms and 100 ms between them.
    """
    return (
        f'<step name="{name}" route="book-slot" statement="{STATEMENT.format(name)}" timeout="700ms">'
        f'<undo route="book-slot" statement="{STATEMENT.format(undo)}" timeout="700ms" harmless="false"/>'
        "</step>"
    )


WORKFLOWS = (
    '<workflow name="order" timeout="20s" tries="2" back-off="100ms" longest-back-off="1s">'
    + step("charge", "refund")
    + step("slot", "free")
    + "</workflow>"
)


def case(record: Record, folder: Path) -> int:
    """Three relays; a client leaves in the middle of its order; its relay is killed while it undoes that."""
    fleet = Fleet(record, folder, [ZONE] * 3, ROUTES, TIMES, WORKFLOWS)
    try:
        work, memory = Work(record), MarkMemory(MEMORY)
        for number in range(6):
            fleet.add_unit(Unit(f"u-{number}", ZONE, work, memory, WORK))
        fleet.start()
        owner = next(relay for relay in fleet.relays if relay.name != fleet.leader())
        record.write("relays are up", leader=fleet.leader(), owner=owner.name)
        booking = Booking(record, owner, "order", "m1", {"mark": "m1"}, 15.0)
        booking.start()
        fleet.wait_for(lambda: work.running("slot"), 5, "the second step did not begin")
        booking.leave()
        fleet.wait_for(lambda: work.running("refund"), 8, "the undo of the first step did not begin")
        if TROUBLE:
            owner.kill()
            time.sleep(2)
            owner.start()
        status = final_answer(fleet, booking, 45)
        if status is None:
            raise CannotRunError("the workflow did not end")
        time.sleep(1)
        return BROKEN if twice(record, work) else HELD
    finally:
        fleet.end()


main(case, Path(__file__).resolve().parent)
