"""Settings that the stand-in of the platform gives to relays."""

from laurelcourse.prng import Prng
from laurelcourse.standins.settings import PLATFORM_SETTINGS, relay_config

RELAYS = [f"k{number}" for number in range(1, 10)]
ELECTION_TIMEOUT_US = 250_000
DRAWS = 20


def test_each_relay_has_a_seed_of_its_own_that_it_keeps() -> None:
    """With one seed for all, keepers draw equal election timeouts, and no candidate gets a majority."""
    draws = []
    for name in RELAYS:
        settings = relay_config(name, "127.0.0.1:1", "127.0.0.1:1", "127.0.0.1:1", {}, PLATFORM_SETTINGS)
        assert settings == relay_config(
            name, "127.0.0.1:1", "127.0.0.1:1", "127.0.0.1:1", {}, PLATFORM_SETTINGS
        )
        rng = Prng(int(settings["seed"], 16))
        draws.append([rng.below(ELECTION_TIMEOUT_US) for _ in range(DRAWS)])
    for index, numbers in enumerate(draws):
        for others in draws[:index]:
            assert not any(number == other for number, other in zip(numbers, others, strict=True))
