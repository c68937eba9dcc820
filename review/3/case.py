"""A step of unknown fate is sent again to another zone, whose units do not drop its repeats."""

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

ZONES = ["neihu", "tucheng", "linkou"]
UNITS_PER_ZONE = 4
MEMORY = 2.0  # seconds for which the units of one zone drop a repeat of a `book-slot` (plug-finder-tw)
WORK = 0.15  # seconds of work for a `book-slot`
CUT_SECONDS = 6.0
BOOKINGS = 24
BOOKING_PAUSE = 0.03  # seconds between the starts of two
ROUTES = [
    route("nearby", "idempotent", 800.0, 3000.0, 2000.0, "zone"),
    route("route-plan", "idempotent", 1200.0, 4000.0, 2000.0, "zone"),
    route("book-slot", "deduplicated", 800.0, 3000.0, MEMORY * 1000, "zone"),
]
TIMES = 'lease="12s" beat="2500ms"'  # as in deploy/fleet.xml
STATEMENT = "SELECT blob FROM rows WHERE handle = '{}.{{mark}}'"
# All tries of the last step are within the 2 s for which its repeats are known, or the check would refuse it:
# 2 x 600 ms and 100 ms between them.
WORKFLOWS = (
    '<workflow name="visit" timeout="20s" tries="2" back-off="100ms" longest-back-off="1s">'
    f'<step name="hold" route="book-slot" statement="{STATEMENT.format("hold")}" timeout="600ms">'
    f'<undo route="book-slot" statement="{STATEMENT.format("free")}" timeout="600ms" harmless="true"/></step>'
    f'<step name="confirm" route="book-slot" statement="{STATEMENT.format("confirm")}" timeout="600ms" '
    'no-return="true" fails="never"/></workflow>'
)


def case(record: Record, folder: Path) -> int:
    """Three relays, three zones of four units; one zone is cut off while it carries out bookings."""
    fleet = Fleet(record, folder, ZONES, ROUTES, TIMES, WORKFLOWS)
    try:
        work, units = Work(record), []
        for zone in ZONES:
            memory = MarkMemory(MEMORY)
            for number in range(UNITS_PER_ZONE):
                units.append(Unit(f"{zone}-{number}", zone, work, memory, WORK))
                fleet.add_unit(units[-1])
        fleet.start()
        owner = fleet.relays[2]
        record.write("relays are up", leader=fleet.leader(), owner=owner.name)
        bookings = []
        for number in range(BOOKINGS):
            bookings.append(Booking(record, owner, "visit", f"m{number}", {"mark": f"m{number}"}, 20.0))
            bookings[-1].start()
            time.sleep(BOOKING_PAUSE)
            cut = [unit for unit in units if unit.zone == ZONES[0]]
            if TROUBLE and number == BOOKINGS // 2:
                fleet.wait_for(
                    lambda cut=cut: len([run for run in work.running("confirm") if run.unit in cut]) >= 2,
                    2,
                    "nothing was under way in the zone",
                )
                for unit in cut:
                    unit.cut.set()
                record.write("zone is cut off", zone=ZONES[0])
        if TROUBLE:
            time.sleep(CUT_SECONDS)
            for unit in units:
                unit.cut.clear()
            record.write("zone is back", zone=ZONES[0])
        for booking in bookings:
            if final_answer(fleet, booking, 20) is None:
                raise CannotRunError("a workflow did not end")
        return BROKEN if twice(record, work) else HELD
    finally:
        fleet.end()


main(case, Path(__file__).resolve().parent)
