"""A TUF front put together from the operators' settings: its own Balancer, pool, doors, mirrors, state."""

import itertools
import logging
from pathlib import Path

from laurelcourse import interface as face
from laurelcourse import settings as known
from laurelcourse.fronts.tuf import decide_fresh, decide_mirrors, decide_room, kept
from laurelcourse.fronts.tuf.exchange import Exchange
from laurelcourse.fronts.tuf.front import Front
from laurelcourse.fronts.tuf.listing import Listing
from laurelcourse.fronts.tuf.repository import Repository
from laurelcourse.fronts.tuf.transfer import Blocks
from laurelcourse.fronts.tuf.trust import Trust, TrustError
from laurelcourse.net import payloads
from laurelcourse.net.assembly import Assembly, ProcessContext
from laurelcourse.net.config import Config, ConfigError
from laurelcourse.net.deployer import Deployer
from laurelcourse.net.directory import Directory
from laurelcourse.net.dispatcher import Dispatcher
from laurelcourse.net.payloads import BuildState, UnitList
from laurelcourse.operator.settings import MANIFEST, METADATA, TARGET, Tuf
from laurelcourse.prng import Prng

MEMORY_SHARE = 64  # of the relay's memory: hashes of blocks
HASH_BYTES = 80  # about what one takes, its place in a tuple included

log = logging.getLogger(__name__)


def routes(front: Tuf) -> tuple[known.Route, ...]:
    """The front's routes; a manifest is sent again only where the director drops repeats by their counter."""
    deduped = front.uptane is not None and front.uptane.counter is not None
    repeats = {
        METADATA: known.RETRIABLE,
        TARGET: known.RETRIABLE,
        MANIFEST: known.DEDUPED if deduped else known.NON_RETRIABLE,
    }
    memory = front.uptane.memory if front.uptane else 0
    return tuple(
        known.Route(
            one.name,
            one.objective,
            one.timeout,
            one.earnings,
            0.0,
            repeats[one.name],
            known.GROUP_ALL,
            memory,
        )
        for one in front.routes
    )


def settings(base: known.Settings, front: Tuf) -> known.Settings:
    """The platform's obligations with the front's own routes and stages. Nothing is tried twice at once: a
    file has one way to its client."""
    found = base._replace(
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
        return found
    release = front.release
    return found._replace(
        cap_free_tries=release.free,
        cap_window=release.window,
        stage_caps=release.caps,
        stage_shares=release.shares,
        min_stage_time=release.bake,
        release_control=known.ANY,
        votes_to_advance=1,
        votes_to_roll_back=1,
    )


def config(base: Config, front: Tuf, fronts: int) -> Config:
    """The front's configuration; fronts share descriptors and memory evenly."""
    share, limits, release = fronts + 1, base.limits, front.release
    entries = [
        (
            face.Listed(
                payloads.unit_number(one.name), one.zone, 0, one.build, face.READY, 1.0, face.START_UNKNOWN_US
            ),
            one.address,
        )
        for one in front.mirrors.listed
    ]
    newest = max((one.build for one in front.mirrors.listed), default=0)
    decided = settings(base.settings, front)
    return base._replace(
        listen=front.listen,
        directory=front.mirrors.directory or base.directory,
        deployer=release.deployer if release else base.deployer,
        news=BuildState(newest, len(decided.stage_caps) - 1, face.RELEASED, 1.0, 0),
        known=UnitList(0, True, entries),
        load_told=False,
        settings=decided,
        limits=limits._replace(
            max_clients=limits.max_clients // share,
            make_room_from=limits.make_room_from // share,
            max_rejected=max(limits.max_rejected // share, 1),
            max_upstream=max(limits.max_upstream // share, 8),
            unfinished_bytes=limits.unfinished_bytes // share,
        ),
    )


# They tell each signature that is no good; here that is counted, and a mirror's rest told.
for name_of_library in ("tuf", "securesystemslib"):
    logging.getLogger(name_of_library).setLevel(logging.ERROR)


def assemble(relay: ProcessContext, front: Tuf, fronts: int, folder: Path) -> Assembly:
    """`folder`: where relative names of files start from."""
    scheduler, own = relay.scheduler, config(relay.config, front, fronts)
    counters = relay.counters.with_prefix(front.name)
    mirrors = decide_mirrors.Mirrors(decide_mirrors.Bounds(*front.exclusions[1:]))
    limits = front.limits
    room = decide_room.Room(
        decide_room.Bounds(limits.files, limits.files_per_mirror, limits.files_per_client, limits.bytes)
    )
    objectives = {one.name: one.objective for one in front.routes}
    made: list[Listing] = []

    def exchange(choices: Dispatcher) -> Exchange:
        found = Exchange(
            scheduler,
            limits,
            relay.config.name,
            objectives[TARGET],
            counters,
            lambda *told: made[0].judged(*told),
            choices.streaming,
            lambda *told: made[0].full(*told),
        )
        made.append(Listing(scheduler, choices, mirrors, room, counters, found.leave))
        return found

    # One read takes half a chunk: a file in smaller pieces costs a turn of the scheduler each.
    upstream = own.limits._replace(usual_buffer=max(limits.chunk // 2, own.limits.usual_buffer))
    found = Assembly(scheduler, own, counters, exchange, upstream)
    listing = made[0]
    found.directory_listener = listing
    if front.mirrors.directory:
        found.use_directory(Directory(scheduler, own, listing, found.pool, counters))
    if front.release:
        found.use_deployer(Deployer(scheduler, own, listing, counters))
    number = itertools.count(1)

    def name() -> str:
        return f"{front.name}-{next(number)}"

    keeper = kept.Keeper(Path(front.folder)) if front.folder else None
    if keeper:
        relay.on_close.append(keeper.close)

    def adopted(one: Repository) -> None:
        if keeper:
            keeper.write(one.name, kept.state_of(one.trust, one.fresh.proven_at or 0))

    timeouts = {one.name: one.timeout for one in front.routes}
    bounds = decide_fresh.Bounds(*front.freshness[1:], objectives[METADATA])
    repositories = {}
    for place, one in enumerate(front.repositories):
        rng = Prng(relay.config.seed + place)
        trust = _trust(folder / one.root, one.name, limits.metadata)
        repositories[one.name] = repository = Repository(
            one.name,
            one.metadata,
            trust,
            bounds,
            timeouts[METADATA],
            scheduler,
            found.lifecycle,
            name,
            rng,
            counters,
            adopted,
        )
        if keeper and (state := keeper.read(one.name)):
            _restore(repository, state, scheduler.now())
    blocks = Blocks(limits.chunk, relay.config.limits.unfinished_bytes * 16 // MEMORY_SHARE // HASH_BYTES)
    found.front = Front(
        scheduler,
        own.limits,
        front,
        found.lifecycle,
        found.admission,
        repositories,
        room,
        blocks,
        name,
        counters,
    )
    return found


def _trust(path: Path, name: str, most: int) -> Trust:
    try:
        return Trust(path.read_bytes(), most)
    except (OSError, TrustError) as error:
        raise ConfigError(f"{path}: the pinned root of repository {name}: {error}") from None


def _restore(repository: Repository, state: kept.State, now: int) -> None:
    """What was kept, if it can be proven; else the pinned root counts, as if nothing had been kept."""
    pinned = min(repository.trust.roots)
    try:
        if kept.restore(repository.trust, state, now):
            repository.fresh.restored(min(state.proven_at, now))
            log.info(
                "restored",
                extra={"repository": repository.name, "timestamp": repository.trust.view.timestamp.version},
            )
    except kept.StateError as error:
        log.warning(
            "what was kept can't be proven, the pinned root counts",
            extra={"repository": repository.name, "fault": error, "root": pinned},
        )
