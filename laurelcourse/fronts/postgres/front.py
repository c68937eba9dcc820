"""The PostgreSQL front: reads what clients send, takes it as reqs, and answers in order."""

from laurelcourse.fronts.postgres import wire
from laurelcourse.fronts.postgres.wire import Frame, FramingError, ProtocolError, Statement
from laurelcourse.net.admission import Client, ClientAdmission
from laurelcourse.net.config import Config
from laurelcourse.net.connection import GOT
from laurelcourse.net.counters import Counters
from laurelcourse.net.dispatcher import Dispatcher
from laurelcourse.net.req import COMPLETED, GONE, SHED, WITHDRAWN, ReqLifecycle
from laurelcourse.net.scheduler import MAIL, Mailbox, Scheduler
from laurelcourse.settings import DEDUPED


class Session:
    """What is kept of one client between its messages."""

    __slots__ = ("is_skipping",)

    def __init__(self) -> None:
        self.is_skipping = False  # up to the next Sync, after a message of the extended protocol


class Front:
    """Serves clients of the PostgreSQL protocol."""

    def __init__(
        self,
        scheduler: Scheduler,
        config: Config,
        dispatcher: Dispatcher,
        lifecycle: ReqLifecycle,
        admission: ClientAdmission,
        counters: Counters,
    ) -> None:
        self.scheduler, self.limits, self.dispatcher = scheduler, config.limits, dispatcher
        self.lifecycle, self.admission, self.counters = lifecycle, admission, counters
        self.repeat_policies = {route.name: route.repeat_policy for route in config.settings.routes}

    def serve(self, client: Client) -> None:
        """Serves one client until it leaves; runs in the client's own task."""
        if not self._start_session(client):
            self.admission.silent.pop(client, None)
        elif self.admission.admit(client):
            self._run_session(client)
        else:
            # A client beyond the limit is told so at once: one left waiting in the backlog would be lost.
            self._close_with_error(client, ProtocolError(wire.TOO_MANY_CONNECTIONS, "too many connections"))

    def _start_session(self, client: Client) -> bool:
        conn, buffer = client.conn, client.conn.buffer
        deadline, refused = client.accepted_at + self.limits.message_time, set()
        while True:
            try:
                frame = wire.parse_frame(
                    buffer.data, buffer.start, buffer.end, buffer.usual_size, startup=True
                )
                if not frame:
                    if (reason := conn.read(deadline, client.mailbox)) == MAIL:
                        deadline = self.admission.take_stop(client)
                    elif reason != GOT:
                        return False
                    continue
                payload = bytes(buffer.data[frame.begin : frame.end])
                buffer.start = frame.end
                code = wire.startup_code(payload)
                if code in (wire.SSL_REQUEST, wire.GSS_REQUEST) and code not in refused:
                    # Each once, as PostgreSQL's own server does: thousands in a row kept the others waiting.
                    refused.add(code)
                    if not conn.write(b"N", deadline):
                        return False
                elif code == wire.VERSION_3:
                    return conn.write(wire.welcome(wire.minor_version(payload)), deadline)
                elif code == wire.CANCEL_REQUEST:
                    return False
                else:
                    raise ProtocolError(wire.PROTOCOL_VIOLATION, "not version 3 of the protocol")
            except ProtocolError as error:
                self._reject(client, error)
                return False

    def _run_session(self, client: Client) -> None:
        session = Session()
        while self._serve_message(client, session):
            pass

    def _serve_message(self, client: Client, session: Session) -> bool:
        """Serves the next message, or waits for more of it; returns whether the connection stays.

        What belongs to one message ends with this call: a client that rests must not keep its last statement.
        """
        buffer = client.conn.buffer
        self.admission.wait_for_turn(client)
        try:
            frame = wire.parse_frame(buffer.data, buffer.start, buffer.end, self.limits.max_message)
            if frame is None:
                return self.admission.wait_for_bytes(client, self._unfinished_reply)
            self.admission.end_message(client)
            if frame.end > buffer.end:
                # Its head says that it is too long: its body is not waited for.
                raise FramingError(wire.LIMIT_EXCEEDED, "a message over the limit")
            reply = self._handle_message(client, session, frame)
        except ProtocolError as error:
            fault = error.with_traceback(None)  # its frames hold the message
        else:
            return reply is not None and client.conn.write(reply)
        return self._answer_fault(client, session, fault)

    def _answer_fault(self, client: Client, session: Session, fault: ProtocolError) -> bool:
        """Answers a message that could not be served; returns whether the connection stays."""
        client.faults_in_a_row += 1
        if isinstance(fault, FramingError) or client.faults_in_a_row >= self.limits.max_faults:
            self._reject(client, fault)
            return False
        if client.faults_in_a_row > 1:
            # A client that repeats its fault at once would take the CPU from the others.
            self._delay_fault(client)
            self.admission.faulty.pop(client, None)
        return client.conn.write(self._error_reply(fault) + (b"" if session.is_skipping else wire.READY))

    def _handle_message(self, client: Client, session: Session, frame: Frame) -> bytes | None:
        """Returns the reply to a whole message; None if the connection is over. Raises ProtocolError."""
        buffer, letter = client.conn.buffer, chr(frame.kind)
        if letter == "Q" and not session.is_skipping:
            # No name is bound to its text here: that would keep it until the req has ended.
            return self._query(client, wire.query_text(buffer.pop(frame.begin, frame.end)))
        buffer.consume_to(frame.end)
        if letter == "X":
            return None
        if letter == "S":
            session.is_skipping = False
            return wire.READY
        if session.is_skipping:
            return b""
        if frame.kind in wire.EXTENDED_QUERY_TYPES:
            session.is_skipping = True
            raise ProtocolError(wire.NOT_SUPPORTED, "simple queries only")
        if letter == "F":
            raise ProtocolError(wire.NOT_SUPPORTED, "no function calls")
        raise FramingError(wire.PROTOCOL_VIOLATION, "an unknown message")

    def _unfinished_reply(self) -> bytes:
        error = ProtocolError(wire.PROTOCOL_VIOLATION, "a message not finished in time")
        return self._error_reply(error, fatal=True)

    def _error_reply(self, error: ProtocolError, fatal: bool = False) -> bytes:
        self.counters.add(f"clients_faults.{error.code}")
        return wire.error(error.code, str(error), fatal=fatal)

    def _reject(self, client: Client, error: ProtocolError) -> None:
        """Closes a client that broke the protocol, after a delay: it may reconnect at once and repeat it."""
        self._delay_fault(client)
        self._close_with_error(client, error)

    def _delay_fault(self, client: Client) -> None:
        """Waits; meanwhile this client is the first to be closed if room is needed."""
        self.admission.faulty[client] = self.scheduler.now()
        self.scheduler.sleep(self.limits.fault_delay)

    def _close_with_error(self, client: Client, error: ProtocolError) -> None:
        self.admission.close_with_reply(client, self._error_reply(error, fatal=True))

    def _query(self, client: Client, sql: bytes) -> bytes | None:
        if not sql.strip(b" ;\n\r\t"):
            if not self.dispatcher.has_unit_list:
                raise ProtocolError(wire.CANNOT_CONNECT_NOW, "no list of units yet")
            client.has_spoken = True
            return wire.EMPTY + wire.READY
        statement = wire.parse_statement(sql)
        del sql  # as large as the statement, which is kept until the req has ended
        if statement.route not in self.repeat_policies:
            raise ProtocolError(wire.INVALID_VALUE, "c names no class that is served here")
        if self.repeat_policies[statement.route] == DEDUPED and not statement.mark:
            raise ProtocolError(wire.INVALID_VALUE, "the comment lacks k")
        if self.admission.may_be_killed_before(statement.left_ms * 1000):
            # Pipelined, or first on a new connection: shed while the client can still be told.
            self.counters.add(f"reqs.{statement.route}.{SHED}")
            return self._final_reply(SHED, 0) + wire.READY
        return self._wait_for_answer(client, statement)

    def _wait_for_answer(self, client: Client, statement: Statement) -> bytes | None:
        """Returns the reply to a req, or None if the client left meanwhile."""
        if client.conn.peer_has_closed():
            # The req was read late: nothing is sent for a client that left before the first try.
            self.counters.add(f"reqs.{statement.route}.{WITHDRAWN}")
            return None
        on_over = self.admission.hold_message(statement.size())
        if on_over is None:
            self.counters.add(f"reqs.{statement.route}.{SHED}")
            return self._final_reply(SHED, 0) + wire.READY
        mailbox = Mailbox(self.scheduler)
        conn = client.conn
        if not self.lifecycle.begin(
            statement, mailbox, client.mailbox, conn.peer_has_closed, on_over, conn.may_hide_close
        ):
            raise ProtocolError(
                wire.INVALID_VALUE, "id is that of a req under way, or of one that may have run"
            )
        client.has_spoken, client.faults_in_a_row = True, 0
        if message := self.admission.next_message(client):
            _, end, value = message
            return self._final_reply(end, value) + wire.READY
        mailbox.put((GONE,))
        return None

    def _final_reply(self, end: str, value: bytes | int | None) -> bytes:
        """Returns a req's final answer: the row as it came, or an error with the time to retry after."""
        if end == COMPLETED:
            return value
        code, retry_after_ms = (
            (wire.TOO_MANY_CONNECTIONS, value // 1000) if end == SHED else (wire.SYSTEM_ERROR, 0)
        )
        return wire.error(code, end, retry_after_ms)
