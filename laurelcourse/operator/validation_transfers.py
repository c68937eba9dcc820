"""Validates the settings of transfers: sites, their receivers and folders, links between them."""

from collections.abc import Iterator
from pathlib import Path

from laurelcourse.operator.checks import find_duplicates, find_invalid_addresses
from laurelcourse.operator.settings import Fault, Fleet, Link


def find_faults(fleet: Fleet, settings_folder: Path) -> Iterator[Fault]:
    """Yields all faults. Relative folders start from `settings_folder`."""
    doors = [door for site in fleet.sites for door in site.doors]
    keeper_addresses = [(keeper.line, keeper.address) for keeper in fleet.keepers]
    yield from find_duplicates("site", ((site.line, site.name) for site in fleet.sites))
    yield from find_duplicates("folder", ((site.line, site.folder) for site in fleet.sites))
    yield from find_duplicates("door of relay", ((door.line, door.relay) for door in doors))
    yield from find_duplicates("address", [*keeper_addresses, *((door.line, door.address) for door in doors)])
    yield from find_invalid_addresses((door.line, door.address) for door in doors)
    for site in fleet.sites:
        if (settings_folder / site.folder).exists() and not (settings_folder / site.folder).is_dir():
            yield Fault(site.line, f"folder {site.folder} is a file: name a folder, which is made if need be")
    sites = {site.name for site in fleet.sites}
    yield from find_duplicates("link", ((link.line, f"{link.origin}>{link.to}") for link in fleet.links))
    for link in fleet.links:
        yield from _find_link_faults(link, sites)


def _find_link_faults(link: Link, sites: set[str]) -> Iterator[Fault]:
    if link.origin == link.to:
        yield Fault(link.line, f"a link from {link.origin} to itself: name two sites")
    for name in sorted({link.origin, link.to} - sites):
        yield Fault(link.line, f"no site {name}: give it an element site with its doors")
    if not link.capacity:
        yield Fault(link.line, "a link without capacity: drop it, or say what it carries a second")
    elif link.kept >= link.capacity:
        yield Fault(link.line, f"kept is {link.kept} of {link.capacity}: nothing is left for transfers")
