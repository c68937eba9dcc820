"""Sizes, counts and times of the network code, derived once at start. Times are in microseconds."""

from typing import NamedTuple

from laurelcourse.net.spent_ids import ID_BYTES
from laurelcourse.settings import SettingsTree

SECOND = 1_000_000
MILLISECOND = 1_000
KIB = 1 << 10
MAX_STOP_TIME = 3 * SECOND  # that the platform allows for answers after SIGTERM
MIN_SOCKETS = 32  # the process and its peers use sixteen; with fewer than that many more it serves nobody
RESERVED_SOCKETS = 16
MAX_UNITS = 3_200  # of the largest fleet
MAX_ENTRY_BYTES = 512  # of one unit in a list, indented
HELD_COPIES = 2  # of a message whose req is under way: its own, and the one that is being written to a unit
MAX_MESSAGE_BYTES = 136 * KIB  # a value of 64 KiB in hexadecimal digits, and the statement around it


class Limits(NamedTuple):
    """All limits of one front."""

    max_clients: int  # open client connections that are served
    make_room_from: int  # client connections from which on those that can be spared are closed for new ones
    max_rejected: int  # client connections that are told that there is no room
    max_upstream: int  # open connections to units
    backlog: int
    accepts_per_turn: int  # connections accepted, or datagrams read, before other tasks run
    usual_buffer: int
    max_buffer: int
    max_message: int  # bytes of a client's message
    max_unit_value: int  # bytes of a unit's value
    max_body: int  # bytes of an HTTP body
    max_list: int  # bytes of a list of units
    max_datagram: int
    connect_timeout: int
    max_idle: int  # of a kept connection to a unit
    write_timeout: int  # answers are owed until the client's time is up
    # From accepting to the first req, and from a message's first byte to its last. It leaves room for the
    # loss of the first packet each way, which TCP sends again after 1 s.
    message_time: int
    min_idle: int  # clients idle for so long are closed when room is short
    min_idle_if_crowded: int  # idle for so long, they are closed before others are rejected
    max_faults: int  # of a client in a row, until its connection is closed
    fault_delay: int  # before the reply to a repeated fault, or to one that ends the connection
    unfinished_bytes: int  # of all clients' unfinished messages together
    spent_ids: int  # that are remembered, since their reqs must not run again
    under_way_bytes: int  # of all large messages whose reqs are under way
    # Unread bytes of a client from which on its close may not have arrived yet, as the kernel takes no more.
    close_hiding_bytes: int
    max_discarded: int  # bytes read and dropped while a connection closes
    response_time: int  # within which a response that has begun is complete; TCP resends after 0.2 s
    settle_time: int  # a connection to a unit is not reused for so long: unexpected bytes show by then
    last_byte_delay: int  # before a query's last byte while connections break often
    max_connections_per_try: int  # all but the last found dead before their last byte
    idle_min_broken: float  # broken connections from which on an idle time may be too long
    idle_margin: float  # by which its share of broken ones must exceed that of new connections
    idle_count_decay: float  # of counts, at each query
    idle_sweep_decay: float  # of counts, at each sweep of the pool
    # What a silent watch misses counts as known after 6 s: the watch and its grace.
    watch: int  # how long the directory may hold a watch open
    watch_grace: int  # how much later its answer may come
    silence: int  # without a sign of life on a stream of notices; one is due every second
    backoff_first: int  # below 0.2 s, after which a watch that was not renewed counts as ended
    backoff_max: int  # no longer than the time between a stream's signs of life
    # Connections may come for 0.2 to 0.4 s after SIGTERM; each time below is 50 ms longer. SIGKILL comes 0.7
    # s and the longest timeout, or 3 s if that is shorter, after SIGTERM. It cuts off what came later than
    # 0.7 s.
    stop_min_accept: int  # the listener stays open for so long
    stop_reads: int  # after which nothing new is read
    stop_answers: int  # after `stop_reads`, when nothing can be answered any more
    stop_quiet: int  # without a new connection, after which the listener closes
    stop_max_accept: int  # after which the listener closes in any case
    stop_drain: int  # wait for a client to close its side


def limits(tree: SettingsTree) -> Limits:
    """Derives the limits from a relay's configuration. Raises SettingsError.

    Of the descriptors an eighth and 16 stay in reserve. Of the others as many go to units as to clients, so
    that no admitted req lacks a connection, and a tenth to clients that are told that there is no room.
    Clients may hold a third of all descriptors for reqs: room is made a little before that.
    """
    sockets = tree.integer("limits.sockets", MIN_SOCKETS)
    memory = tree.integer("limits.memory_mb", 1) << 20
    shared = max(sockets - sockets // 8 - RESERVED_SOCKETS, 8)
    longest_timeout = max(
        tree.microseconds(f"settings.classes.{index}.deadline")
        for index in range(len(tree.items("settings.classes")))
    )
    idle = tree.microseconds("settings.limits.conn_idle")
    return Limits(
        max_clients=shared * 9 // 20,
        make_room_from=min(sockets // 3 - sockets // 32, shared * 2 // 5),
        max_rejected=shared // 10,
        max_upstream=shared * 9 // 20,
        backlog=min(sockets, 1024),
        accepts_per_turn=128,
        usual_buffer=4 * KIB,
        max_buffer=MAX_MESSAGE_BYTES + 4 * KIB,
        max_message=MAX_MESSAGE_BYTES,
        max_unit_value=max(memory >> 6, MAX_MESSAGE_BYTES),
        max_body=max(memory >> 6, 256 * KIB),
        max_list=max(memory >> 6, MAX_UNITS * MAX_ENTRY_BYTES),
        max_datagram=256,
        connect_timeout=tree.microseconds("settings.limits.connect_timeout"),
        max_idle=idle - min(idle // 10, SECOND),
        write_timeout=5 * longest_timeout // 3,
        message_time=2_300 * MILLISECOND,
        min_idle=2_100 * MILLISECOND,
        min_idle_if_crowded=50 * MILLISECOND,
        max_faults=4,
        fault_delay=500 * MILLISECOND,
        unfinished_bytes=max(memory >> 4, 2 * MAX_MESSAGE_BYTES),
        spent_ids=(memory >> 5) // ID_BYTES,
        under_way_bytes=max(memory >> 2, 2 * HELD_COPIES * MAX_MESSAGE_BYTES),
        close_hiding_bytes=16 * KIB,  # less than the smallest usual receive window
        max_discarded=256 * KIB,
        response_time=500 * MILLISECOND,
        settle_time=50 * MILLISECOND,
        last_byte_delay=2 * MILLISECOND,
        max_connections_per_try=3,
        idle_min_broken=3.0,
        idle_margin=0.04,
        idle_count_decay=0.98,
        idle_sweep_decay=0.7,
        watch=5 * SECOND,
        watch_grace=SECOND,
        silence=3 * SECOND,
        backoff_first=50 * MILLISECOND,
        backoff_max=SECOND,
        stop_min_accept=450 * MILLISECOND,
        stop_reads=700 * MILLISECOND,
        stop_answers=min(longest_timeout, MAX_STOP_TIME),
        stop_quiet=300 * MILLISECOND,
        stop_max_accept=600 * MILLISECOND,
        stop_drain=500 * MILLISECOND,
    )
