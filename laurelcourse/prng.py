"""A seeded pseudo-random generator and a hash that give the same numbers on every machine."""

MULTIPLIER = 6364136223846793005
INCREMENT = 1442695040888963407
WORD_MASK = 0xFFFFFFFFFFFFFFFF


class Prng:
    """A 64-bit linear congruential generator of which only the high 32 bits are used.

    The low bits of such a generator repeat after short periods.
    """

    __slots__ = ("word",)

    def __init__(self, seed: int) -> None:
        self.word = seed & WORD_MASK
        self.below(2)

    def below(self, bound: int) -> int:
        """Returns a number from 0 to `bound` - 1."""
        self.word = (self.word * MULTIPLIER + INCREMENT) & WORD_MASK
        return ((self.word >> 32) * bound) >> 32

    def fraction(self) -> float:
        """Returns a number from 0 up to but not including 1."""
        return self.below(1 << 30) / (1 << 30)


def hash_pair(first: int, second: int) -> int:
    """Returns a 32-bit hash of two numbers that is the same in every process."""
    return (first * 2654435761 + second * 40503 + 1) * 2246822519 % (1 << 32)
