"""A snapshot on its way from one keeper to another, in pieces. Pure."""

from laurelcourse.fleet.keeper.forms import Piece, Snapshot


class Incoming:
    """Pieces of one snapshot by one leader of one term: another leader's version may write the same books
    in other bytes, so its pieces are never put together with these."""

    __slots__ = ("_of", "data")

    def __init__(self, piece: Piece) -> None:
        self._of, self.data = (piece.term, piece.index, piece.index_term), bytearray()

    def same(self, piece: Piece) -> bool:
        return self._of == (piece.term, piece.index, piece.index_term)

    def outdated(self, piece: Piece) -> bool:
        """A leader goes on to later snapshots only: a piece of an earlier one was long under way."""
        return piece.term == self._of[0] and piece.index < self._of[1]

    def take(self, piece: Piece) -> Snapshot | None:
        """The whole once the last piece is there. A piece that comes twice, or too early, changes nothing."""
        if piece.offset != len(self.data):
            return None
        self.data += piece.data
        if not piece.last:
            return None
        return Snapshot(piece.index, piece.index_term, piece.keepers, bytes(self.data))


def piece_of(snapshot: Snapshot, term: int, offset: int, size: int, round_: int) -> Piece:
    """The piece from `offset` on, of at most `size` bytes."""
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
