"""A snapshot sent from one keeper to another in chunks. Pure."""

from laurelcourse.fleet.keeper.messages import Piece, Snapshot


class IncomingSnapshot:
    """Chunks of one snapshot by one leader of one term.

    Chunks of different leaders are never combined: another version may encode the same state in other bytes.
    """

    __slots__ = ("_id", "data")

    def __init__(self, piece: Piece) -> None:
        self._id, self.data = (piece.term, piece.index, piece.index_term), bytearray()

    def matches(self, piece: Piece) -> bool:
        """Returns whether a chunk belongs to this snapshot."""
        return self._id == (piece.term, piece.index, piece.index_term)

    def is_outdated(self, piece: Piece) -> bool:
        """Returns whether a chunk of an earlier snapshot was delayed: a leader only goes on to later ones."""
        return piece.term == self._id[0] and piece.index < self._id[1]

    def add(self, piece: Piece) -> Snapshot | None:
        """Returns the snapshot once the last chunk is there. Repeated or early chunks change nothing."""
        if piece.offset != len(self.data):
            return None
        self.data += piece.data
        if not piece.last:
            return None
        return Snapshot(piece.index, piece.index_term, piece.keepers, bytes(self.data))


def chunk_of(snapshot: Snapshot, term: int, offset: int, size: int, round_: int) -> Piece:
    """Returns the chunk from `offset` on, of at most `size` bytes."""
    data = snapshot.data[offset : offset + size]
    return Piece(
        term,
        snapshot.index,
        snapshot.term,
        snapshot.keepers,
        offset,
        data,
        offset + len(data) >= len(snapshot.data),
        round_,
    )
