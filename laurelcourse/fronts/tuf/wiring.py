"""A TUF front put together from the operators' settings: its own Balancer, pool, doors, mirrors, state."""

import itertools
import logging
from pathlib import Path

from laurelcourse import interface as face
from laurelcourse import settings as known
from laurelcourse.chance import Chance
from laurelcourse.fronts.tuf import decide_fresh, decide_mirrors, decide_room, kept
from laurelcourse.fronts.tuf.exchange import Exchange
from laurelcourse.fronts.tuf.front import Front
from laurelcourse.fronts.tuf.listing import Listing
from laurelcourse.fronts.tuf.repository import Repository
from laurelcourse.fronts.tuf.transfer import Blocks
from laurelcourse.fronts.tuf.trust import Trust, TrustError
from laurelcourse.net import forms
from laurelcourse.net.assembly import Assembly, Host
from laurelcourse.net.choices import Choices
from laurelcourse.net.config import Config, ConfigError
from laurelcourse.net.deployer import Deployer
from laurelcourse.net.directory import Directory
from laurelcourse.net.forms import Members, State
from laurelcourse.operator.form import MANIFEST, METADATA, TARGET, Tuf

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
        may_tell=False,
        must_ask=False,
        keys_stay=False,
        shielded=0,
        complaint_share=1.0,
    )
    if front.release is None:
        return found
    release = front.release
    return found._replace(
        cap_free=release.free,
        cap_window=release.window,
        stage_caps=release.caps,
        stage_shares=release.shares,
        bake=release.bake,
        control=known.ANY,
        votes_on=1,
        votes_back=1,
    )


def config(base: Config, front: Tuf, fronts: int) -> Config:
    """The front's configuration; fronts share descriptors and memory evenly."""
    share, limits, release = fronts + 1, base.limits, front.release
    entries = [
        (
            face.Listed(forms.number(one.name), one.zone, 0, one.build, face.READY, 1.0, face.LONG_AGO),
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
        news=State(newest, len(decided.stage_caps) - 1, face.RELEASED, 1.0, 0),
        known=Members(0, True, entries),
        load_told=False,
        settings=decided,
        limits=limits._replace(
            clients=limits.clients // share,
            roomy=limits.roomy // share,
            crowd=max(limits.crowd // share, 1),
            upstream=max(limits.upstream // share, 8),
            unfinished=limits.unfinished // share,
        ),
    )


# They tell each signature that is no good; here that is counted, and a mirror's rest told.
for name_of_library in ("tuf", "securesystemslib"):
    logging.getLogger(name_of_library).setLevel(logging.ERROR)


def assemble(relay: Host, front: Tuf, fronts: int, folder: Path) -> Assembly:
    """`folder`: where relative names of files start from."""
    scheduler, own = relay.scheduler, config(relay.config, front, fronts)
    counters = relay.counters.under(front.name)
    mirrors = decide_mirrors.Mirrors(decide_mirrors.Bounds(*front.rests[1:]))
    limits = front.limits
    room = decide_room.Room(
        decide_room.Bounds(limits.files, limits.files_per_mirror, limits.files_per_client, limits.bytes)
    )
    objectives = {one.name: one.objective for one in front.routes}
    made: list[Listing] = []

    def exchange(choices: Choices) -> Exchange:
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
    upstream = own.limits._replace(buffer_usual=max(limits.chunk // 2, own.limits.buffer_usual))
    found = Assembly(scheduler, own, counters, exchange, upstream)
    listing = made[0]
    found.listing = listing
    if front.mirrors.directory:
        found.follow(Directory(scheduler, own, listing, found.pool, counters))
    if front.release:
        found.hear(Deployer(scheduler, own, listing, counters))
    number = itertools.count(1)

    def name() -> str:
        return f"{front.name}-{next(number)}"

    keeper = kept.Keeper(Path(front.folder)) if front.folder else None
    if keeper:
        relay.closing.append(keeper.close)

    def adopted(one: Repository) -> None:
        if keeper:
            keeper.write(one.name, kept.state_of(one.trust, one.fresh.proven_at or 0))

    timeouts = {one.name: one.timeout for one in front.routes}
    bounds = decide_fresh.Bounds(*front.freshness[1:], objectives[METADATA])
    repositories = {}
    for place, one in enumerate(front.repositories):
        chance = Chance(relay.config.seed + place)
        trust = _trust(folder / one.root, one.name, limits.metadata)
        repositories[one.name] = repository = Repository(
            one.name,
            one.metadata,
            trust,
            bounds,
            timeouts[METADATA],
            scheduler,
            found.lives,
            name,
            chance,
            counters,
            adopted,
        )
        if keeper and (state := keeper.read(one.name)):
            _restore(repository, state, scheduler.now())
    blocks = Blocks(limits.chunk, relay.config.limits.unfinished * 16 // MEMORY_SHARE // HASH_BYTES)
    found.front = Front(
        scheduler, own.limits, front, found.lives, found.doors, repositories, room, blocks, name, counters
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
