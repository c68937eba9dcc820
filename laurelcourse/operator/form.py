"""The operators' settings as values. Times are whole microseconds, sizes bytes, `line` where each stands."""

from typing import NamedTuple

Address = tuple[str, int]
METADATA, TARGET, MANIFEST = "metadata", "target", "manifest"
ROUTES = (METADATA, TARGET, MANIFEST)


class Mirror(NamedTuple):
    line: int
    name: str
    address: Address
    zone: str
    build: int


class Mirrors(NamedTuple):
    line: int
    directory: Address | None
    listed: tuple[Mirror, ...]


class Release(NamedTuple):
    line: int
    deployer: Address
    caps: tuple[float, ...]  # of reqs, by stage, for the build on trial
    shares: tuple[float, ...]  # of mirrors, by stage
    free: int  # tries in a window beside the cap
    window: int
    bake: int


class Repository(NamedTuple):
    line: int
    name: str
    metadata: str  # prefix of paths, with a stroke at both ends
    targets: str | None
    root: str  # file of the pinned root, beside the operators' file unless absolute


class Uptane(NamedTuple):
    line: int
    director: str
    image: str
    manifests: str  # the path that manifests are posted to
    counter: str | None  # the field by which the director drops repeats; None: never sent again
    memory: int  # for how long it does
    directed_only: bool  # whether an image that no director names is passed on


class Route(NamedTuple):
    line: int
    name: str
    objective: int
    timeout: int
    earnings: float


class Freshness(NamedTuple):
    line: int
    ask_again: int  # what was proven so lately is given without asking a mirror
    serve_proven: int  # and for so long while no mirror answers


class Rests(NamedTuple):
    line: int
    behind: int  # a mirror that is merely behind rests so long, and longer each time on end
    wrong: int  # one that lies
    most: float  # the share of mirrors that may rest for being behind


class Limits(NamedTuple):
    line: int
    files: int
    files_per_mirror: int
    files_per_client: int
    bytes: int
    chunk: int
    metadata: int
    manifest: int
    floor: int  # bytes a second that a mirror must make, while it is waited for
    floor_over: int


class Tuf(NamedTuple):
    line: int
    name: str
    listen: Address
    tries: int
    mirrors: Mirrors
    release: Release | None
    repositories: tuple[Repository, ...]
    uptane: Uptane | None
    routes: tuple[Route, ...]
    freshness: Freshness
    rests: Rests
    limits: Limits
    folder: str | None  # where what was proven lasts
    folder_line: int


class Keeper(NamedTuple):
    line: int
    name: str  # of the relay that is one, as in its own configuration
    address: Address  # where the other relays reach it
    site: str


class KeeperBounds(NamedTuple):
    line: int
    heartbeat: int  # of the keepers' leader
    patience: int  # without a leader for so long, a keeper asks to be elected
    batch: int  # bytes of entries in one message
    piece: int  # bytes of a snapshot in one message
    ahead: int  # messages under way to one keeper
    waiting: int  # orders that wait at once
    snapshot_every: int  # entries after which the log is cut


class Budget(NamedTuple):
    line: int
    name: str
    kind: str  # rate, level, count: as in `fleet.books.forms`
    whole: int  # of each one in `scope`: a second, at any instant, or in `window`
    floor: int  # what each relay may use without a share
    relays: int  # the most there may be
    window: int  # of a count, else 0
    freed_after: int  # of a level, else 0: the other end lets go by itself so long after
    scope: str  # fleet, site, unit, tenant, route
    when_used_up: str  # other: another unit; wait; shed


class Undo(NamedTuple):
    line: int
    route: str
    statement: str  # a template, as in `fleet.workflows.definition`
    timeout: int
    harmless: bool  # however late it runs, and however often


class Step(NamedTuple):
    line: int
    name: str
    route: str
    statement: str
    timeout: int
    effect: bool
    no_return: bool  # once it may have run there is only forward
    fails: str  # may, never, harmless
    undo: Undo | None


class Workflow(NamedTuple):
    line: int
    name: str
    timeout: int
    tries: int  # of an undo, until it is stuck
    back_off: int
    longest_back_off: int
    steps: tuple[Step, ...]


class WorkflowLimits(NamedTuple):
    line: int
    in_flight: int
    by_tenant: int
    behind: int  # undoing or stuck: with so many none begins
    keeps: int  # a finished one can be asked for so long


class Door(NamedTuple):
    line: int
    relay: str
    address: Address  # where this relay takes transfers


class Site(NamedTuple):
    """Compute slots for transfers; `folder` is the site's own store, shared by its doors."""

    line: int
    name: str
    slots: int
    folder: str
    doors: tuple[Door, ...]


class Link(NamedTuple):
    """One direction, bytes a second."""

    line: int
    origin: str
    to: str
    capacity: int
    kept: int  # for ordinary reqs


class Fleet(NamedTuple):
    line: int
    name: str
    listen: Address | None  # where this relay hears the others, if not at its keeper's address
    folder: str | None  # where a keeper's books last; from the settings' own folder on
    lease: int
    beat: int  # how often a relay renews its lease
    drift: int  # parts of a million
    sessions: int
    alone: bool  # one keeper is enough: its death is the end of the books until it is back
    spread: bool  # keepers must lie on two sites at least
    keepers: tuple[Keeper, ...]
    bounds: KeeperBounds
    budgets: tuple[Budget, ...]
    workflows: tuple[Workflow, ...] = ()
    workflow_limits: WorkflowLimits | None = None
    flows_port: int = 0  # where each relay hears clients of workflows, beside its own; 0: it does not
    sites: tuple[Site, ...] = ()
    links: tuple[Link, ...] = ()


class Operator(NamedTuple):
    path: str
    fronts: tuple[Tuf, ...]
    fleet: Fleet | None = None


class Fault(NamedTuple):
    line: int
    words: str  # what is wrong, and what would be right
