"""Chance: a linear congruential generator of which only the high bits are used."""


class Chance:
    __slots__ = ("word",)

    def __init__(self, seed: int) -> None:
        self.word = seed & 0xFFFFFFFFFFFFFFFF
        self.below(2)

    def below(self, bound: int) -> int:
        self.word = (self.word * 6364136223846793005 + 1442695040888963407) & 0xFFFFFFFFFFFFFFFF
        return ((self.word >> 32) * bound) >> 32

    def share(self) -> float:
        return self.below(1 << 30) / (1 << 30)


def hashed(one: int, two: int) -> int:
    """The same scattered number wherever it is asked for."""
    return (one * 2654435761 + two * 40503 + 1) * 2246822519 % (1 << 32)
