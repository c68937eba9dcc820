"""The operators' settings as values. `line` is where each one stands in the file.

Times are whole microseconds, sizes bytes. Fields have the names of the XML attributes, with `_` for `-`.
"""

from typing import NamedTuple

Address = tuple[str, int]
METADATA = "metadata"
TARGET = "target"
MANIFEST = "manifest"
ROUTES = (METADATA, TARGET, MANIFEST)


class Mirror(NamedTuple):
    """One mirror of the settings."""

    line: int
    name: str
    address: Address
    zone: str
    build: int


class Mirrors(NamedTuple):
    """The mirrors: listed, from a directory, or both."""

    line: int
    directory: Address | None
    listed: tuple[Mirror, ...]


class Release(NamedTuple):
    """How builds of mirrors are released."""

    line: int
    deployer: Address
    caps: tuple[float, ...]  # by stage: the share of reqs for the build on trial
    shares: tuple[float, ...]  # by stage: the share of mirrors that run it
    free: int  # tries per window that the cap does not count
    window: int
    bake: int


class Repository(NamedTuple):
    """A TUF repository."""

    line: int
    name: str
    metadata: str  # prefix of paths, with a slash at both ends
    targets: str | None  # the same of targets
    root: str  # file of the pinned root; relative to the operators' file


class Uptane(NamedTuple):
    """How the two repositories of Uptane work together."""

    line: int
    director: str
    image: str
    manifests: str  # the path to which manifests are posted
    counter: str | None  # the field by which the director drops repeats; None: they are never repeated
    memory: int  # for how long the director recognizes repeats
    directed_only: bool  # only images that the director names are served


class Route(NamedTuple):
    """A route of a front."""

    line: int
    name: str
    objective: int
    timeout: int
    earnings: float


class Freshness(NamedTuple):
    """For how long proven metadata is served."""

    line: int
    ask_again: int  # for which proven metadata is served without asking a mirror
    serve_proven: int  # for which it is served while no mirror answers


class MirrorExclusions(NamedTuple):
    """For how long mirrors are not asked."""

    line: int
    behind: int  # of a mirror with outdated metadata; longer each time in a row
    wrong: int  # of a mirror with invalid data
    most: float  # the largest share of mirrors excluded for outdated metadata


class Limits(NamedTuple):
    """Limits of a front."""

    line: int
    files: int
    files_per_mirror: int
    files_per_client: int
    bytes: int
    chunk: int
    metadata: int
    manifest: int
    floor: int  # bytes a second that a mirror must send while it is waited for
    floor_over: int  # the time over which that is measured


class Tuf(NamedTuple):
    """A TUF front."""

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
    exclusions: MirrorExclusions
    limits: Limits
    folder: str | None  # where proven metadata is stored
    folder_line: int


class Keeper(NamedTuple):
    """A keeper."""

    line: int
    name: str  # of its relay
    address: Address  # at which other relays reach it
    site: str


class KeeperBounds(NamedTuple):
    """Bounds of the keepers."""

    line: int
    heartbeat: int  # interval of the leader's heartbeats
    patience: int  # the election timeout
    batch: int  # bytes of entries in one message
    piece: int  # bytes of a snapshot in one message
    ahead: int  # messages in flight to one keeper
    waiting: int  # orders that wait at once
    snapshot_every: int  # entries after which the log is compacted


class Budget(NamedTuple):
    """A budget of the fleet."""

    line: int
    name: str
    kind: str  # rate, level or count, as in `fleet/books/forms.py`
    whole: int  # of each one in `scope`: per second, at any instant, or per `window`
    floor: int  # what each relay may use without a share
    relays: int  # the most relays there may be
    window: int  # of a count; otherwise 0
    freed_after: int  # of a level, after which the other end frees it by itself; otherwise 0
    scope: str  # fleet, site, unit, tenant or route
    when_used_up: str  # other (another unit is tried), wait or shed


class Undo(NamedTuple):
    """The undo of a workflow's step."""

    line: int
    route: str
    statement: str  # a template, as in `fleet/workflows/definition.py`
    timeout: int
    harmless: bool  # it does no harm, however late or often it runs


class Step(NamedTuple):
    """A step of a workflow."""

    line: int
    name: str
    route: str
    statement: str
    timeout: int
    effect: bool
    no_return: bool  # once it may have run, the workflow only goes forward
    fails: str  # may, never or harmless
    undo: Undo | None


class Workflow(NamedTuple):
    """A workflow."""

    line: int
    name: str
    timeout: int
    tries: int  # of an undo, until it is stuck
    back_off: int
    longest_back_off: int
    steps: tuple[Step, ...]


class WorkflowLimits(NamedTuple):
    """Limits on workflows."""

    line: int
    in_flight: int
    by_tenant: int
    behind: int  # undoing or stuck: with so many, none begins
    keeps: int  # for which an ended workflow can be queried


class Door(NamedTuple):
    """Where a relay receives transfers."""

    line: int
    relay: str
    address: Address


class Site(NamedTuple):
    """Compute slots for transfers at one site; `folder` is the site's own storage, shared by its relays."""

    line: int
    name: str
    slots: int
    folder: str
    doors: tuple[Door, ...]


class Link(NamedTuple):
    """One direction between two sites, in bytes a second."""

    line: int
    origin: str
    to: str
    capacity: int
    kept: int  # for ordinary reqs


class Fleet(NamedTuple):
    """The fleet."""

    line: int
    name: str
    listen: Address | None  # of this relay's keeper, if not the keeper's address
    folder: str | None  # of a keeper's data; relative to the operators' file
    lease: int
    beat: int  # the interval at which a relay renews its lease
    drift: int  # parts in a million
    sessions: int
    alone: bool  # a single keeper is wanted: without it nothing can be read or written
    spread: bool  # keepers must be at two sites at least
    keepers: tuple[Keeper, ...]
    bounds: KeeperBounds
    budgets: tuple[Budget, ...]
    workflows: tuple[Workflow, ...] = ()
    workflow_limits: WorkflowLimits | None = None
    flows_port: int = 0  # on which each relay accepts clients of workflows; 0: it does not
    sites: tuple[Site, ...] = ()
    links: tuple[Link, ...] = ()


class Operator(NamedTuple):
    """All settings of one file."""

    path: str
    fronts: tuple[Tuf, ...]
    fleet: Fleet | None = None


class Fault(NamedTuple):
    """Something wrong with the settings."""

    line: int
    message: str  # what is wrong, and what would be right
