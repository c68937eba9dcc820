"""Sessions in the books: who is there, who may still act, and what came of its last commands.

A session is live from its Open until its Close or Lapse, and never again. Its number counts up for ever, so
the fence of an ended one fits no later one (fencing: Burrows, "The Chubby lock service", 2006, sequencers).
"""

from laurelcourse.fleet.books.forms import Command, Done, Fence, Lapse, Open
from laurelcourse.fleet.books.state import MARKS, NUMBER, PAST, SESSIONS, Past, Session, State, number, text
from laurelcourse.fleet.errors import (
    CrowdedError,
    FencedOffError,
    LapsedLeaseError,
    MarkForgottenError,
    NameTakenError,
    UnreadableError,
)


def opened(state: State, term: int, what: Open, mark: int) -> Fence:
    """The session of this Open: a new one, or the one that the same Open made before.

    Raises UnreadableError, NameTakenError, LapsedLeaseError (this Open's session has ended since: the asker
    draws another mark), CrowdedError."""
    if not (text(what.name) and text(what.site, 0) and number(mark, 1, NUMBER)):
        raise UnreadableError("open", fault="name, site or mark")
    if what.name in state.names:
        there = state.live[state.names[what.name]]
        if there.mark != mark:
            raise NameTakenError(what.name, session=there.fence.session)
        return there.fence
    past = state.past.get(what.name)
    if past and past.mark == mark:
        # An Open that comes late a second time must not leave a session behind that nobody holds.
        raise LapsedLeaseError(what.name, session=past.session)
    if len(state.live) >= SESSIONS:
        raise CrowdedError(what.name, held=len(state.live), at_most=SESSIONS, of="sessions")
    state.last += 1
    fence = Fence(what.name, state.last, past.boot + 1 if past else 1, term)
    _become_live(state, Session(fence, what.site, mark, state.index))
    return fence


def _become_live(state: State, session: Session) -> None:
    state.past.pop(session.fence.name, None)
    state.live[session.fence.session] = session
    state.names[session.fence.name] = session.fence.session


def end(state: State, session: Session) -> None:
    """What it held must have been seen to before."""
    fence = session.fence
    del state.live[fence.session], state.names[fence.name]
    state.past[fence.name] = Past(fence.boot, fence.session, session.mark)
    if len(state.past) > PAST:
        del state.past[next(iter(state.past))]


def admitted(state: State, fence: Fence) -> Session:
    """Who bears this fence. Raises UnreadableError, FencedOffError, LapsedLeaseError."""
    if not (
        type(fence) is Fence
        and text(fence.name)
        and all(number(one, 0, NUMBER) for one in (fence.session, fence.boot, fence.term))
    ):
        raise UnreadableError("fence", fault="name or numbers")
    session = state.live.get(fence.session)
    if session and session.fence == fence:
        return session
    past = state.past.get(fence.name)
    newer = state.names.get(fence.name, past.session if past else 0)
    if newer > fence.session:
        raise FencedOffError(fence.name, session=fence.session, newer=newer)
    raise LapsedLeaseError(fence.name, session=fence.session)


def seen(session: Session, command: Command) -> Done | None:
    """What came of this mark before. Raises UnreadableError, MarkForgottenError."""
    if not number(command.mark, 1, NUMBER):
        raise UnreadableError(session.fence.name, fault="mark")
    if command.mark <= session.forgotten:
        raise MarkForgottenError(session.fence.name, mark=command.mark, kept=min(session.dones))
    return session.dones.get(command.mark)


def keep(session: Session, mark: int, done: Done) -> None:
    session.dones[mark] = done
    if len(session.dones) > MARKS:
        session.forgotten = min(session.dones)
        del session.dones[session.forgotten]


def lapsing(state: State, what: Lapse) -> Session:
    """Raises UnreadableError, LapsedLeaseError."""
    if not number(what.session, 1, NUMBER):
        raise UnreadableError("lapse", fault="session")
    if what.session not in state.live:
        raise LapsedLeaseError(f"session {what.session}", session=what.session)
    return state.live[what.session]
