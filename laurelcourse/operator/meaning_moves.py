"""Whether the settings of transfers make sense: sites, their doors and folders, links between them."""

from collections.abc import Iterator
from pathlib import Path

from laurelcourse.operator.form import Fault, Fleet
from laurelcourse.operator.same import off_range, twice


def faults(fleet: Fleet, beside: Path) -> Iterator[Fault]:
    doors = [one for site in fleet.sites for one in site.doors]
    taken = [(one.line, one.address) for one in fleet.keepers]
    yield from twice("site", ((one.line, one.name) for one in fleet.sites))
    yield from twice("folder", ((one.line, one.folder) for one in fleet.sites))
    yield from twice("door of relay", ((one.line, one.relay) for one in doors))
    yield from twice("address", [*taken, *((one.line, one.address) for one in doors)])
    yield from off_range((one.line, one.address) for one in doors)
    for site in fleet.sites:
        if (beside / site.folder).exists() and not (beside / site.folder).is_dir():
            yield Fault(site.line, f"folder {site.folder} is a file: name a folder, which is made if need be")
    sites = {one.name for one in fleet.sites}
    yield from twice("link", ((one.line, f"{one.origin}>{one.to}") for one in fleet.links))
    for one in fleet.links:
        if one.origin == one.to:
            yield Fault(one.line, f"a link from {one.origin} to itself: name two sites")
        for name in sorted({one.origin, one.to} - sites):
            yield Fault(one.line, f"no site {name}: give it an element site with its doors")
        if not one.capacity:
            yield Fault(one.line, "a link without capacity: drop it, or say what it carries a second")
        elif one.kept >= one.capacity:
            yield Fault(one.line, f"kept is {one.kept} of {one.capacity}: nothing is left for transfers")
