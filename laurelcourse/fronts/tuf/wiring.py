"""Assembles a TUF front from the operators' settings: its own Balancer, pool, admission, mirrors, state."""

import itertools
import logging
from collections.abc import Callable
from pathlib import Path

from laurelcourse import interface as face
from laurelcourse import settings as platform
from laurelcourse.fronts.tuf import state_store
from laurelcourse.fronts.tuf.download import BlockHashes
from laurelcourse.fronts.tuf.exchange import Exchange
from laurelcourse.fronts.tuf.file_admission import AdmissionBounds, FileAdmission
from laurelcourse.fronts.tuf.freshness import FreshnessBounds
from laurelcourse.fronts.tuf.front import Front
from laurelcourse.fronts.tuf.mirror_exclusion import ExclusionBounds, MirrorRecords
from laurelcourse.fronts.tuf.mirror_list import MirrorList
from laurelcourse.fronts.tuf.repository import Repository
from laurelcourse.fronts.tuf.state_store import StateStore, StoredState
from laurelcourse.fronts.tuf.trust import Trust, TrustError
from laurelcourse.net import payloads
from laurelcourse.net.assembly import Assembly, ProcessContext
from laurelcourse.net.config import Config, ConfigError
from laurelcourse.net.counters import Counters
from laurelcourse.net.deployer import Deployer
from laurelcourse.net.directory import Directory
from laurelcourse.net.dispatcher import Dispatcher
from laurelcourse.net.payloads import BuildState, UnitList
from laurelcourse.operator.settings import MANIFEST, METADATA, TARGET, Tuf
from laurelcourse.prng import Prng

# Hashes of blocks take one part in so many of the relay's memory.
HASH_MEMORY_PARTS = 64
UNFINISHED_PARTS = 16  # the relay's memory in parts of `unfinished_bytes`
HASH_BYTES = 80  # of memory per hash, its place in a tuple included

MIN_UPSTREAM_CONNECTIONS = 8

log = logging.getLogger(__name__)

# These libraries log each invalid signature; here that is counted, and exclusions of mirrors are logged.
for library in ("tuf", "securesystemslib"):
    logging.getLogger(library).setLevel(logging.ERROR)


def routes(front: Tuf) -> tuple[platform.Route, ...]:
    """Returns the front's routes.

    A manifest is repeated only where the director drops repeats by their counter.
    """
    is_deduplicated = front.uptane is not None and front.uptane.counter is not None
    repeat_policies = {
        METADATA: platform.RETRIABLE,
        TARGET: platform.RETRIABLE,
        MANIFEST: platform.DEDUPED if is_deduplicated else platform.NON_RETRIABLE,
    }
    dedup_window = front.uptane.memory if front.uptane else 0
    return tuple(
        platform.Route(
            route.name,
            route.objective,
            route.timeout,
            route.earnings,
            0.0,
            repeat_policies[route.name],
            platform.GROUP_ALL,
            dedup_window,
        )
        for route in front.routes
    )


def front_settings(base: platform.Settings, front: Tuf) -> platform.Settings:
    """Returns the platform's obligations with the front's own routes and stages.

    Nothing is tried twice at once: a file has one way to its client.
    """
    settings = base._replace(
        routes=routes(front),
        max_tries=front.tries,
        may_duplicate=False,
        may_probe=False,
        may_message_peers=False,
        must_poll=False,
        sticky_keys=False,
        protected_stages=0,
        complaint_share=1.0,
    )
    if front.release is None:
        return settings
    release = front.release
    return settings._replace(
        cap_free_tries=release.free,
        cap_window=release.window,
        stage_caps=release.caps,
        stage_shares=release.shares,
        min_stage_time=release.bake,
        release_control=platform.ANY,
        votes_to_advance=1,
        votes_to_roll_back=1,
    )


def front_config(base: Config, front: Tuf, fronts: int) -> Config:
    """Returns the front's configuration; fronts share descriptors and memory evenly."""
    share, limits, release = fronts + 1, base.limits, front.release
    entries = [
        (
            face.Listed(
                payloads.unit_number(mirror.name),
                mirror.zone,
                0,
                mirror.build,
                face.READY,
                1.0,
                face.START_UNKNOWN_US,
            ),
            mirror.address,
        )
        for mirror in front.mirrors.listed
    ]
    newest_build = max((mirror.build for mirror in front.mirrors.listed), default=0)
    settings = front_settings(base.settings, front)
    return base._replace(
        listen=front.listen,
        directory=front.mirrors.directory or base.directory,
        deployer=release.deployer if release else base.deployer,
        news=BuildState(newest_build, len(settings.stage_caps) - 1, face.RELEASED, 1.0, 0),
        known=UnitList(0, True, entries),
        load_told=False,
        settings=settings,
        limits=limits._replace(
            max_clients=limits.max_clients // share,
            make_room_from=limits.make_room_from // share,
            max_rejected=max(limits.max_rejected // share, 1),
            max_upstream=max(limits.max_upstream // share, MIN_UPSTREAM_CONNECTIONS),
            spent_ids=0,  # this front names its reqs itself
            unfinished_bytes=limits.unfinished_bytes // share,
            under_way_bytes=limits.under_way_bytes // share,
        ),
    )


def assemble(relay: ProcessContext, front: Tuf, fronts: int, folder: Path) -> Assembly:
    """Assembles a front. Relative names of files start from `folder`. Raises ConfigError."""
    scheduler, config = relay.scheduler, front_config(relay.config, front, fronts)
    counters = relay.counters.with_prefix(front.name)
    mirrors = MirrorRecords(ExclusionBounds(*front.exclusions[1:]))
    limits = front.limits
    admission = FileAdmission(
        AdmissionBounds(limits.files, limits.files_per_mirror, limits.files_per_client, limits.bytes)
    )
    objectives = {route.name: route.objective for route in front.routes}
    mirror_lists: list[MirrorList] = []

    def make_exchange(dispatcher: Dispatcher) -> Exchange:
        exchange = Exchange(
            scheduler,
            limits,
            relay.config.name,
            objectives[TARGET],
            counters,
            lambda *assessed: mirror_lists[0].assess(*assessed),
            dispatcher.streaming,
            lambda *part: mirror_lists[0].count_part(*part),
        )
        mirror_lists.append(
            MirrorList(scheduler, dispatcher, mirrors, admission, counters, exchange.cancel_files)
        )
        return exchange

    # One read takes half a chunk: a file in smaller pieces costs a turn of the scheduler for each.
    buffer_bytes = max(limits.chunk // 2, config.limits.usual_buffer)
    upstream_limits = config.limits._replace(usual_buffer=buffer_bytes)
    assembly = Assembly(scheduler, config, counters, make_exchange, upstream_limits)
    mirror_list = mirror_lists[0]
    assembly.directory_listener = mirror_list
    if front.mirrors.directory:
        assembly.use_directory(Directory(scheduler, config, mirror_list, assembly.pool, counters))
    if front.release:
        assembly.use_deployer(Deployer(scheduler, config, mirror_list, counters))
    number = itertools.count(1)

    def new_req_name() -> str:
        return f"{front.name}-{next(number)}"

    repositories = _repositories(relay, front, folder, assembly, counters, new_req_name)
    max_hashes = relay.config.limits.unfinished_bytes * UNFINISHED_PARTS // HASH_MEMORY_PARTS // HASH_BYTES
    assembly.front = Front(
        scheduler,
        config.limits,
        front,
        assembly.lifecycle,
        assembly.admission,
        repositories,
        admission,
        BlockHashes(limits.chunk, max_hashes),
        new_req_name,
        counters,
    )
    return assembly


def _repositories(
    relay: ProcessContext,
    front: Tuf,
    folder: Path,
    assembly: Assembly,
    counters: Counters,
    new_req_name: Callable[[], str],
) -> dict[str, Repository]:
    """Returns the front's repositories, with their stored state."""
    store = StateStore(Path(front.folder)) if front.folder else None
    if store:
        relay.on_close.append(store.close)

    def on_adopted(repository: Repository) -> None:
        if store:
            verified_at = repository.freshness.verified_at or 0
            store.write(repository.name, state_store.state_of(repository.trust, verified_at))

    timeouts = {route.name: route.timeout for route in front.routes}
    objectives = {route.name: route.objective for route in front.routes}
    bounds = FreshnessBounds(*front.freshness[1:], objectives[METADATA])
    repositories = {}
    for index, settings in enumerate(front.repositories):
        rng = Prng(relay.config.seed + index)
        trust = _pinned_trust(folder / settings.root, settings.name, front.limits.metadata)
        repositories[settings.name] = repository = Repository(
            settings.name,
            settings.metadata,
            trust,
            bounds,
            timeouts[METADATA],
            relay.scheduler,
            assembly.lifecycle,
            new_req_name,
            rng,
            counters,
            on_adopted,
        )
        if store and (state := store.read(settings.name)):
            _restore(repository, state, relay.scheduler.now())
    return repositories


def _pinned_trust(path: Path, name: str, max_bytes: int) -> Trust:
    try:
        return Trust(path.read_bytes(), max_bytes)
    except (OSError, TrustError) as error:
        raise ConfigError(f"{path}: the pinned root of repository {name}: {error}") from None


def _restore(repository: Repository, state: StoredState, now: int) -> None:
    """Restores a stored state if it can be verified; otherwise begins with the pinned root."""
    pinned = min(repository.trust.roots)
    try:
        if state_store.restore(repository.trust, state, now):
            repository.freshness.restore(min(state.proven_at, now))
            log.info(
                "restored",
                extra={"repository": repository.name, "timestamp": repository.trust.view.timestamp.version},
            )
    except state_store.StateError as error:
        log.warning(
            "what was kept can't be proven, the pinned root counts",
            extra={"repository": repository.name, "fault": error, "root": pinned},
        )
