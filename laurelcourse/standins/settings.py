"""Settings as the platform gives them, for relays that are started among stand-ins."""

from hashlib import blake2b


def route_settings(name: str, effect: str) -> dict:
    """Returns the settings of one route, as they are named outside."""
    return {
        "name": name,
        "aim": 1000.0,
        "deadline": 3000.0,
        "worth": 1.0,
        "late_share": 0.2,
        "effect": effect,
        "group": "all",
        "memory_span": 5000.0,
        "novel": 7,
    }


PLATFORM_SETTINGS = {
    "me": 0,
    "balancers": 2,
    "locality": "a",
    "tick": 5.0,
    "discovery": "push",
    "areas": ["a"],
    "classes": [
        route_settings("read", "idempotent"),
        route_settings("mark", "deduplicated"),
        route_settings("once", "at_most_once"),
    ],
    "limits": {
        "max_attempts": 3,
        "may_duplicate": True,
        "probes": True,
        "peer_messages": True,
        "retry_after": True,
        "max_retry_after": 1000.0,
        "conn_idle": 30000.0,
        "cancel": True,
        "connect_timeout": 250.0,
    },
    "obligations": {
        "must_ask_in": 9000.0,
        "stop_sending_within": 2000.0,
        "start_capacity": 0.3,
        "warm_after": 4500.0,
        "overload_factor": 3.0,
        "tip_after": 1000.0,
    },
    "domain": {
        "cap_scope": "all",
        "free": 30.0,
        "counted_over": 2000.0,
        "most_shares": [0.06, 1.0],
        "rings": [0.03, 1.0],
        "shielded": 0,
        "keys_stay": False,
        "decided_by": "single",
        "least_stage": 1500.0,
        "ballot_ttl": 6000.0,
        "api_timeout": 400.0,
        "to_advance": 1,
        "back_votes": 1,
        "complaint_share": 0.0,
    },
    "prices": {"cross_zone": 0.0},
    "reporting": {"names": "avg_ms", "via": "pull"},
}


def seed_of(name: str) -> str:
    """Returns a relay's seed, in hexadecimal.

    As by the platform, each relay has its own: with equal seeds, keepers would draw equal election timeouts
    and split the votes of every term.
    """
    return blake2b(name.encode(), digest_size=8).hexdigest()


def relay_config(
    name: str,
    listen: str,
    directory: str,
    deployer: str,
    known: dict,
    settings: dict,
    news: dict | None = None,
    memory_mb: int = 192,
    sockets: int = 1024,
) -> dict:
    """Returns a relay's configuration; it has no peers but itself."""
    news = news or {"build": "1", "stage": "0", "phase": "Healthy", "cap": "1", "age_ms": "9000"}
    return {
        "name": name,
        "listen": listen,
        "discovery": directory,
        "seed": seed_of(name),
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "peers_all": listen,
        "peer_listen": listen,
        "peers": [listen],
        "pipeline": {"address": deployer, "news": news},
        "known": known,
        "settings": settings,
    }
