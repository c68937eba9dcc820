"""Sizes, counts and times of the network code, filled once at start and handed down."""

from typing import NamedTuple

from laurelcourse.settings import Tree

SECOND = 1_000_000
LEAST_SOCKETS = 32  # sixteen are the process's own and its peers'; fewer beside them serve nobody in a burst


class Limits(NamedTuple):
    clients: int  # open client connections that are served
    roomy: int  # and from how many on those that can be spared give way to new ones
    crowd: int  # those beyond the first, which are told so
    upstream: int  # open connections to units
    backlog: int
    accepts: int  # accepted, or datagrams read, in one turn
    buffer_usual: int
    buffer_most: int
    message: int  # the longest message taken from a client
    value: int  # and from a unit
    body: int  # the longest HTTP body
    datagram: int
    connect: int  # until a connection to a unit is up
    idle: int  # a connection to a unit is not reused after this
    patience: int  # for another's part in a write: answers are owed until the client's time is up
    # From accepting to the first req, and from a message's first byte to its last. No page speaks of it: it
    # leaves room for a first packet lost on each way, which TCP sends again after 1 s.
    begin: int
    spare: int  # a client between reqs for so long gives way when room is short
    spare_least: int  # and for so long, rather than that another is told there is no room
    faults: int  # on end, and the connection closes
    penance: int  # before the answer to a fault that was repeated, or that ends the connection
    unfinished: int  # bytes of clients' unfinished messages, all together
    drained: int  # bytes passed over while a connection closes
    part: int  # another's answer that has begun goes on within this: TCP resends after 0.2 s
    settle: int  # a connection to a unit rests so long: what comes unasked shows by then
    wary: int  # between a query's last byte and those before it, while connections break
    fresh: int  # connections for one try, all but the last found dead before its last byte
    rest_few: float  # broken connections that tell something of rests
    rest_margin: float  # and by how much more often they must break than new ones, as a share
    rest_fade: float  # what is left of a count at the next of its kind
    rest_forget: float  # and at each sweep
    # The protocol's page: what a silent watch misses counts as told after 6 s, the wait and its grace.
    watch: int  # how long a watch of the directory may wait
    watch_grace: int  # and how much later its answer may come
    silence: int  # a notices stream without a sign of life, which is due every second
    pause_first: int  # after a failed call, doubling; a watch goes on if called again within 0.2 s
    pause_most: int  # and no longer than the stream's signs of life are apart
    # The page: connections come for 0.2 to 0.4 s after SIGTERM, each time limit is 50 ms longer. SIGKILL
    # comes 0.7 s and the longest timeout after it, counted as 3 s where it is longer; what came over 0.7 s
    # after SIGTERM is lost by it.
    stop_least: int  # the listener stays for so long after SIGTERM
    stop_late: int  # from then on nothing new is read
    stop_answers: int  # and after so much more nothing can be answered
    stop_quiet: int  # no new connection for so long after SIGTERM
    stop_accept: int  # and the longest wait for that
    stop_drain: int  # waiting for a client to close its side


def limits(tree: Tree) -> Limits:
    """Shares the descriptors out: an eighth and 16 in reserve; of the rest as many for units as for clients,
    so that no req taken lacks a connection, and a tenth for clients that are told there is no room. Clients
    hold at most a third of all descriptors for reqs: room is made a little before that. A message holds a
    value of 64 KiB in hexadecimal digits and the statement round it, at every size of memory."""
    sockets, memory = tree.whole("limits.sockets", LEAST_SOCKETS), tree.whole("limits.memory_mb", 1) << 20
    shared = max(sockets - sockets // 8 - 16, 8)
    message = 136 << 10
    longest = max(
        tree.micros(f"settings.classes.{place}.deadline")
        for place in range(len(tree.items("settings.classes")))
    )
    idle = tree.micros("settings.limits.conn_idle")
    return Limits(
        clients=shared * 9 // 20,
        roomy=min(sockets // 3 - sockets // 32, shared * 2 // 5),
        crowd=shared // 10,
        upstream=shared * 9 // 20,
        backlog=min(sockets, 1024),
        accepts=128,
        buffer_usual=1 << 12,
        buffer_most=message + (1 << 12),
        message=message,
        value=max(memory >> 6, message),
        body=max(memory >> 6, 1 << 18),
        datagram=256,
        connect=tree.micros("settings.limits.connect_timeout"),
        idle=idle - min(idle // 10, SECOND),
        patience=5 * longest // 3,
        begin=23 * SECOND // 10,
        spare=21 * SECOND // 10,
        spare_least=SECOND // 20,
        faults=4,
        penance=SECOND // 2,
        unfinished=max(memory >> 4, 2 * message),
        drained=1 << 18,
        part=SECOND // 2,
        settle=SECOND // 20,
        wary=SECOND // 500,
        fresh=3,
        rest_few=3.0,
        rest_margin=0.04,
        rest_fade=0.98,
        rest_forget=0.7,
        watch=5 * SECOND,
        watch_grace=SECOND,
        silence=3 * SECOND,
        pause_first=SECOND // 20,
        pause_most=SECOND,
        stop_least=9 * SECOND // 20,
        stop_late=7 * SECOND // 10,
        stop_answers=min(longest, 3 * SECOND),
        stop_quiet=3 * SECOND // 10,
        stop_accept=6 * SECOND // 10,
        stop_drain=SECOND // 2,
    )
