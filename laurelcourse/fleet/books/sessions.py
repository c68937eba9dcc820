"""Sessions of the state machine: which are live, who may act, and the results of their last commands.

A session is live from its Open to its Close or Lapse, and never again. Session numbers only count up, so the
fence of an ended session matches no later one (sequencers: Burrows, "The Chubby lock service", 2006).
"""

from laurelcourse.fleet.books.forms import Command, Done, Fence, Lapse, Open
from laurelcourse.fleet.books.state import (
    MAX_NUMBER,
    MAX_PAST_SESSIONS,
    MAX_RESULTS,
    MAX_SESSIONS,
    PastSession,
    Session,
    State,
    is_number,
    is_text,
)
from laurelcourse.fleet.errors import (
    CrowdedError,
    FencedOffError,
    LapsedLeaseError,
    MarkForgottenError,
    NameTakenError,
    UnreadableError,
)


def open_session(state: State, term: int, command: Open, mark: int) -> Fence:
    """Returns the fence of the session of this Open: a new one, or that of an earlier equal Open.

    Raises UnreadableError, NameTakenError, LapsedLeaseError (the session of this Open has ended: the sender
    draws another mark) or CrowdedError.
    """
    if not (is_text(command.name) and is_text(command.site, 0) and is_number(mark, 1, MAX_NUMBER)):
        raise UnreadableError("open", fault="name, site or mark")
    if command.name in state.session_by_name:
        live = state.live_sessions[state.session_by_name[command.name]]
        if live.open_mark != mark:
            raise NameTakenError(command.name, session=live.fence.session)
        return live.fence
    past = state.past_sessions.get(command.name)
    if past and past.open_mark == mark:
        # A delayed repetition of an Open must not leave a session behind that nobody holds.
        raise LapsedLeaseError(command.name, session=past.session)
    if len(state.live_sessions) >= MAX_SESSIONS:
        raise CrowdedError(command.name, held=len(state.live_sessions), at_most=MAX_SESSIONS, of="sessions")
    state.last_session += 1
    fence = Fence(command.name, state.last_session, past.boot + 1 if past else 1, term)
    _become_live(state, Session(fence, command.site, mark, state.index))
    return fence


def _become_live(state: State, session: Session) -> None:
    state.past_sessions.pop(session.fence.name, None)
    state.live_sessions[session.fence.session] = session
    state.session_by_name[session.fence.name] = session.fence.session


def end_session(state: State, session: Session) -> None:
    """Ends a session whose shares and jobs have been released."""
    fence = session.fence
    del state.live_sessions[fence.session], state.session_by_name[fence.name]
    state.past_sessions[fence.name] = PastSession(fence.boot, fence.session, session.open_mark)
    if len(state.past_sessions) > MAX_PAST_SESSIONS:
        del state.past_sessions[next(iter(state.past_sessions))]


def check_fence(state: State, fence: Fence) -> Session:
    """Returns the live session with this fence.

    Raises UnreadableError, FencedOffError or LapsedLeaseError.
    """
    if not (
        type(fence) is Fence
        and is_text(fence.name)
        and all(is_number(number, 0, MAX_NUMBER) for number in (fence.session, fence.boot, fence.term))
    ):
        raise UnreadableError("fence", fault="name or numbers")
    session = state.live_sessions.get(fence.session)
    if session and session.fence == fence:
        return session
    past = state.past_sessions.get(fence.name)
    newest = state.session_by_name.get(fence.name, past.session if past else 0)
    if newest > fence.session:
        raise FencedOffError(fence.name, session=fence.session, newer=newest)
    raise LapsedLeaseError(fence.name, session=fence.session)


def known_result(session: Session, command: Command) -> Done | None:
    """Returns the result of an earlier command with this mark.

    Raises UnreadableError or MarkForgottenError.
    """
    if not is_number(command.mark, 1, MAX_NUMBER):
        raise UnreadableError(session.fence.name, fault="mark")
    if command.mark <= session.forgotten_mark:
        raise MarkForgottenError(session.fence.name, mark=command.mark, kept=min(session.results))
    return session.results.get(command.mark)


def remember_result(session: Session, mark: int, result: Done) -> None:
    """Remembers the result of a mark, and forgets the oldest beyond the bound."""
    session.results[mark] = result
    if len(session.results) > MAX_RESULTS:
        session.forgotten_mark = min(session.results)
        del session.results[session.forgotten_mark]


def session_to_lapse(state: State, command: Lapse) -> Session:
    """Returns the live session that a Lapse names. Raises UnreadableError or LapsedLeaseError."""
    if not is_number(command.session, 1, MAX_NUMBER):
        raise UnreadableError("lapse", fault="session")
    if command.session not in state.live_sessions:
        raise LapsedLeaseError(f"session {command.session}", session=command.session)
    return state.live_sessions[command.session]
