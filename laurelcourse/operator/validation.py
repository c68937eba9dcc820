"""Validates what a schema can't express: whether the settings fit together, and whether files exist."""

from collections.abc import Iterator
from pathlib import Path

from laurelcourse.operator import validation_fleet, validation_transfers, workflows
from laurelcourse.operator.checks import find_duplicates, find_invalid_addresses
from laurelcourse.operator.settings import (
    MANIFEST,
    METADATA,
    TARGET,
    Address,
    Fault,
    Operator,
    Route,
    Tuf,
)

MAX_TIMEOUT_US = 3_600_000_000
MIN_CHUNK_BYTES = 4 << 10
MAX_CHUNK_BYTES = 1 << 20


def find_faults(operator: Operator, settings_folder: Path) -> list[Fault]:
    """Returns all faults. Relative names of files start from `settings_folder`."""
    faults = [*_find_shared_faults(operator)]
    for front in operator.fronts:
        faults += _find_front_faults(front, settings_folder)
    if operator.fleet is not None:
        faults += [
            *validation_fleet.find_faults(operator.fleet, settings_folder),
            *workflows.find_faults(operator.fleet),
            *validation_transfers.find_faults(operator.fleet, settings_folder),
            *_find_fleet_conflicts(operator),
        ]
    return faults


def _find_shared_faults(operator: Operator) -> Iterator[Fault]:
    """Yields what several fronts share although each needs its own."""
    fronts = operator.fronts
    yield from find_duplicates("front", ((front.line, front.name) for front in fronts))
    yield from find_duplicates("listen", ((front.line, front.listen) for front in fronts))
    yield from find_duplicates(
        "state folder", ((front.folder_line, front.folder) for front in fronts if front.folder)
    )


def _find_fleet_conflicts(operator: Operator) -> Iterator[Fault]:
    """Yields what the fleet and a front share although each needs its own."""
    fleet = operator.fleet
    folders = [(front.folder_line, front.folder) for front in operator.fronts if front.folder]
    yield from find_duplicates("folder", [*([(fleet.line, fleet.folder)] if fleet.folder else []), *folders])
    addresses: list[tuple[int, Address]] = [(keeper.line, keeper.address) for keeper in fleet.keepers]
    addresses += [(fleet.line, fleet.listen)] if fleet.listen else []
    fronts = {front.listen: front for front in operator.fronts}
    for line, address in addresses:
        if address in fronts:
            yield Fault(
                line,
                "{}:{} is where front {} listens: give the fleet a port of its own".format(
                    *address, fronts[address].name
                ),
            )


def _find_front_faults(front: Tuf, settings_folder: Path) -> Iterator[Fault]:
    yield from _find_address_faults(front)
    yield from _find_mirror_faults(front)
    yield from _find_route_faults(front)
    yield from _find_repository_faults(front, settings_folder)
    yield from _find_uptane_faults(front)
    yield from _find_release_faults(front)
    yield from _find_limit_faults(front)
    yield from _find_freshness_faults(front)


def _find_address_faults(front: Tuf) -> Iterator[Fault]:
    mirrors, release = front.mirrors, front.release
    addresses = [
        (front.line, front.listen),
        *((mirror.line, mirror.address) for mirror in mirrors.listed),
    ]
    addresses += [(mirrors.line, mirrors.directory)] if mirrors.directory else []
    addresses += [(release.line, release.deployer)] if release else []
    yield from find_invalid_addresses(addresses)


def _find_mirror_faults(front: Tuf) -> Iterator[Fault]:
    mirrors = front.mirrors
    if not mirrors.listed and not mirrors.directory:
        yield Fault(mirrors.line, "no mirror and no directory: name one or the other")
    yield from find_duplicates("mirror", ((mirror.line, mirror.name) for mirror in mirrors.listed))
    yield from find_duplicates("mirror address", ((mirror.line, mirror.address) for mirror in mirrors.listed))
    for mirror in mirrors.listed:
        if mirror.address == front.listen:
            yield Fault(
                mirror.line,
                f"mirror {mirror.name} is the front's own listen address: it would ask itself",
            )


def _find_route_faults(front: Tuf) -> Iterator[Fault]:
    yield from find_duplicates("route", ((route.line, route.name) for route in front.routes))
    names = {route.name for route in front.routes}
    for name in (METADATA, TARGET):
        if name not in names:
            yield Fault(front.line, f"no route {name}: every front has one")
    if front.uptane and MANIFEST not in names:
        yield Fault(front.line, "no route manifest, which uptane needs")
    for route in front.routes:
        if route.name == MANIFEST and not front.uptane:
            yield Fault(route.line, "route manifest without uptane: say where manifests go, or drop it")
        yield from _find_route_figure_faults(route)


def _find_route_figure_faults(route: Route) -> Iterator[Fault]:
    if route.objective <= 0 or route.timeout <= 0:
        yield Fault(route.line, f"route {route.name} has a time of 0: both times must be above it")
    elif route.timeout < route.objective:
        yield Fault(
            route.line,
            f"route {route.name} has its timeout under its latency-objective: it must be as long at least",
        )
    if route.timeout > MAX_TIMEOUT_US:
        yield Fault(route.line, f"route {route.name} has a timeout over 1h")
    if route.earnings <= 0:
        yield Fault(route.line, f"route {route.name} earns nothing: earnings must be above 0")


def _find_repository_faults(front: Tuf, settings_folder: Path) -> Iterator[Fault]:
    repositories = front.repositories
    yield from find_duplicates(
        "repository", ((repository.line, repository.name) for repository in repositories)
    )
    prefixes = [
        (repository.line, prefix)
        for repository in repositories
        for prefix in (repository.metadata, repository.targets)
        if prefix
    ]
    yield from find_duplicates("path", prefixes)
    for line, prefix in prefixes:
        for _, other in prefixes:
            if prefix != other and prefix.startswith(other):
                yield Fault(line, f"path {prefix} lies under {other}: paths must not hold one another")
    for repository in repositories:
        if not (settings_folder / repository.root).is_file():
            yield Fault(
                repository.line, f"repository {repository.name} has no pinned root at {repository.root}"
            )


def _find_uptane_faults(front: Tuf) -> Iterator[Fault]:
    uptane = front.uptane
    if uptane is None:
        return
    repositories = {repository.name: repository for repository in front.repositories}
    for role, name in (("director", uptane.director), ("image", uptane.image)):
        if name not in repositories:
            names = ", ".join(sorted(repositories))
            yield Fault(uptane.line, f"{role} names no repository '{name}': one of {names}")
    if uptane.director == uptane.image:
        yield Fault(uptane.line, "director and image are one repository: only two can check each other")
    if uptane.image in repositories and not repositories[uptane.image].targets:
        yield Fault(repositories[uptane.image].line, "the image repository has no path for targets")
    for repository in front.repositories:
        for prefix in (repository.metadata, repository.targets):
            if prefix and uptane.manifests.startswith(prefix):
                yield Fault(uptane.line, f"manifests go to {uptane.manifests}, which lies under {prefix}")
    if uptane.counter and uptane.memory <= 0:
        yield Fault(uptane.line, "repeats by counter with a memory of 0: say for how long")


def _find_release_faults(front: Tuf) -> Iterator[Fault]:
    release = front.release
    if release is None:
        return
    if len(release.caps) != len(release.shares):
        yield Fault(
            release.line,
            f"{len(release.caps)} caps and {len(release.shares)} shares: one of each for a stage",
        )
    if list(release.caps) != sorted(release.caps) or list(release.shares) != sorted(release.shares):
        yield Fault(release.line, "caps and shares must not fall from one stage to the next")
    if release.window <= 0 or release.bake <= 0:
        yield Fault(release.line, "window and bake must be above 0")


def _find_limit_faults(front: Tuf) -> Iterator[Fault]:
    limits = front.limits
    if not MIN_CHUNK_BYTES <= limits.chunk <= MAX_CHUNK_BYTES:
        yield Fault(limits.line, "chunk must be from 4KiB to 1MiB")
    if limits.bytes < 2 * limits.chunk:
        yield Fault(limits.line, "bytes must hold two chunks at least, or no file passes")
    for name, value in (("metadata", limits.metadata), ("manifest", limits.manifest)):
        if value <= 0:
            yield Fault(limits.line, f"{name} must be above 0")
    if limits.files_per_client > limits.files or limits.files_per_mirror > limits.files:
        yield Fault(limits.line, "files-per-client and files-per-mirror can't be over files")
    if limits.floor_over <= 0:
        yield Fault(limits.line, "floor-over must be above 0")
    target = next((route for route in front.routes if route.name == TARGET), None)
    if target and limits.floor_over >= target.timeout:
        yield Fault(limits.line, "floor-over must be under the timeout of route target, or no stall is seen")


def _find_freshness_faults(front: Tuf) -> Iterator[Fault]:
    freshness, exclusions = front.freshness, front.exclusions
    if freshness.ask_again <= 0:
        yield Fault(freshness.line, "ask-again must be above 0: else each client's asking asks a mirror")
    if freshness.ask_again > freshness.serve_proven:
        yield Fault(freshness.line, "serve-proven must be as long as ask-again at least")
    if exclusions.behind <= 0 or exclusions.wrong <= 0:
        yield Fault(exclusions.line, "a time of 0: a mirror must rest for some time")
    elif exclusions.wrong < exclusions.behind:
        yield Fault(exclusions.line, "wrong must be as long as behind at least: a lie weighs more than a lag")
