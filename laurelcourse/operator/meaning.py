"""What a schema can't say: whether the settings make sense together, and whether files exist."""

from collections.abc import Iterator
from pathlib import Path

from laurelcourse.operator import meaning_fleet, meaning_moves, meaning_workflows
from laurelcourse.operator.form import MANIFEST, METADATA, TARGET, Address, Fault, Operator, Tuf
from laurelcourse.operator.same import off_range, twice

LONGEST_TIMEOUT = 3_600_000_000
LEAST_CHUNK, MOST_CHUNK = 4 << 10, 1 << 20


def faults(found: Operator, beside: Path) -> list[Fault]:
    """Every fault in the settings; `beside` is the folder that relative names of files start from."""
    all_ = [*_fronts(found), *(fault for front in found.fronts for fault in _front(front, beside))]
    if found.fleet is not None:
        all_ += [
            *meaning_fleet.faults(found.fleet, beside),
            *meaning_workflows.faults(found.fleet),
            *meaning_moves.faults(found.fleet, beside),
            *_beside(found),
        ]
    return all_


def _fronts(found: Operator) -> Iterator[Fault]:
    yield from twice("front", ((one.line, one.name) for one in found.fronts))
    yield from twice("listen", ((one.line, one.listen) for one in found.fronts))
    yield from twice("state folder", ((one.folder_line, one.folder) for one in found.fronts if one.folder))


def _beside(found: Operator) -> Iterator[Fault]:
    """What the fleet and the fronts can't both have."""
    fleet = found.fleet
    folders = [(one.folder_line, one.folder) for one in found.fronts if one.folder]
    yield from twice("folder", [*([(fleet.line, fleet.folder)] if fleet.folder else []), *folders])
    heard: list[tuple[int, Address]] = [(one.line, one.address) for one in fleet.keepers]
    heard += [(fleet.line, fleet.listen)] if fleet.listen else []
    listens = {one.listen: one for one in found.fronts}
    for line, address in heard:
        if address in listens:
            yield Fault(
                line,
                "{}:{} is where front {} listens: give the fleet a port of its own".format(
                    *address, listens[address].name
                ),
            )


def _front(front: Tuf, beside: Path) -> Iterator[Fault]:
    yield from _addresses(front)
    yield from _mirrors(front)
    yield from _routes(front)
    yield from _repositories(front, beside)
    yield from _uptane(front)
    yield from _release(front)
    yield from _bounds(front)


def _addresses(front: Tuf) -> Iterator[Fault]:
    told = [(front.line, front.listen), *((one.line, one.address) for one in front.mirrors.listed)]
    told += [(front.mirrors.line, front.mirrors.directory)] if front.mirrors.directory else []
    told += [(front.release.line, front.release.deployer)] if front.release else []
    yield from off_range(told)


def _mirrors(front: Tuf) -> Iterator[Fault]:
    mirrors = front.mirrors
    if not mirrors.listed and not mirrors.directory:
        yield Fault(mirrors.line, "no mirror and no directory: name one or the other")
    yield from twice("mirror", ((one.line, one.name) for one in mirrors.listed))
    yield from twice("mirror address", ((one.line, one.address) for one in mirrors.listed))
    for one in mirrors.listed:
        if one.address == front.listen:
            yield Fault(one.line, f"mirror {one.name} is the front's own listen address: it would ask itself")


def _routes(front: Tuf) -> Iterator[Fault]:
    yield from twice("route", ((one.line, one.name) for one in front.routes))
    named = {one.name for one in front.routes}
    for wanted in (METADATA, TARGET, *([MANIFEST] if front.uptane else [])):
        if wanted not in named:
            yield Fault(
                front.line,
                f"no route {wanted}: every front has one"
                if wanted != MANIFEST
                else "no route manifest, which uptane needs",
            )
    for one in front.routes:
        if one.name == MANIFEST and not front.uptane:
            yield Fault(one.line, "route manifest without uptane: say where manifests go, or drop it")
        if one.objective <= 0 or one.timeout <= 0:
            yield Fault(one.line, f"route {one.name} has a time of 0: both times must be above it")
        elif one.timeout < one.objective:
            yield Fault(
                one.line,
                f"route {one.name} has its timeout under its latency-objective: it must be as long at least",
            )
        if one.timeout > LONGEST_TIMEOUT:
            yield Fault(one.line, f"route {one.name} has a timeout over 1h")
        if one.earnings <= 0:
            yield Fault(one.line, f"route {one.name} earns nothing: earnings must be above 0")


def _repositories(front: Tuf, beside: Path) -> Iterator[Fault]:
    yield from twice("repository", ((one.line, one.name) for one in front.repositories))
    prefixes = [
        (one.line, prefix) for one in front.repositories for prefix in (one.metadata, one.targets) if prefix
    ]
    yield from twice("path", prefixes)
    for line, prefix in prefixes:
        for _, other in prefixes:
            if prefix != other and prefix.startswith(other):
                yield Fault(line, f"path {prefix} lies under {other}: paths must not hold one another")
    for one in front.repositories:
        if not (beside / one.root).is_file():
            yield Fault(one.line, f"repository {one.name} has no pinned root at {one.root}")


def _uptane(front: Tuf) -> Iterator[Fault]:
    uptane = front.uptane
    if uptane is None:
        return
    named = {one.name: one for one in front.repositories}
    for what, name in (("director", uptane.director), ("image", uptane.image)):
        if name not in named:
            has = ", ".join(sorted(named))
            yield Fault(uptane.line, f"{what} names no repository '{name}': one of {has}")
    if uptane.director == uptane.image:
        yield Fault(uptane.line, "director and image are one repository: only two can check each other")
    if uptane.image in named and not named[uptane.image].targets:
        yield Fault(named[uptane.image].line, "the image repository has no path for targets")
    for one in front.repositories:
        for prefix in (one.metadata, one.targets):
            if prefix and uptane.manifests.startswith(prefix):
                yield Fault(uptane.line, f"manifests go to {uptane.manifests}, which lies under {prefix}")
    if uptane.counter and uptane.memory <= 0:
        yield Fault(uptane.line, "repeats by counter with a memory of 0: say for how long")


def _release(front: Tuf) -> Iterator[Fault]:
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


def _bounds(front: Tuf) -> Iterator[Fault]:
    limits, fresh, rests = front.limits, front.freshness, front.rests
    if not LEAST_CHUNK <= limits.chunk <= MOST_CHUNK:
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
    target = next((one for one in front.routes if one.name == TARGET), None)
    if target and limits.floor_over >= target.timeout:
        yield Fault(limits.line, "floor-over must be under the timeout of route target, or no stall is seen")
    if fresh.ask_again <= 0:
        yield Fault(fresh.line, "ask-again must be above 0: else each client's asking asks a mirror")
    if fresh.ask_again > fresh.serve_proven:
        yield Fault(fresh.line, "serve-proven must be as long as ask-again at least")
    if rests.behind <= 0 or rests.wrong <= 0:
        yield Fault(rests.line, "a time of 0: a mirror must rest for some time")
    elif rests.wrong < rests.behind:
        yield Fault(rests.line, "wrong must be as long as behind at least: a lie weighs more than a lag")
