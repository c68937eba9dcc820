"""A relay's configuration: one JSON file, read and judged before any socket opens."""

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from laurelcourse import interface as face
from laurelcourse import settings
from laurelcourse.net.forms import Address, FormError, Members, State, address, members, state
from laurelcourse.net.limits import Limits, limits
from laurelcourse.settings import SettingsError, Tree


class ConfigError(Exception):
    """The path and the fault, in one plain line."""


class Config(NamedTuple):
    name: str
    listen: Address
    directory: Address
    deployer: Address
    seed: int
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_all: Address | None
    news: State
    known: Members
    load_told: bool  # whether a unit's report holds anything
    limits: Limits
    settings: settings.Settings


def readable(tree: Tree, path: str, read: Callable) -> Any:  # noqa: ANN401
    try:
        return read(tree.value(path))
    except FormError as error:
        raise SettingsError(f"has in '{path}' {error}") from None
    except (TypeError, ValueError, AttributeError):
        raise tree.unreadable(path) from None


def decode(root: dict) -> Config:
    tree = Tree(root)
    known = settings.decode(tree.branch("settings"))
    told, news = known.may_tell, readable(tree, "pipeline.news", state)
    if news.standing == face.ON_TRIAL and news.stage >= len(known.stage_caps):
        raise SettingsError(f"has in 'pipeline.news' stage {news.stage}, which 'settings.domain.rings' lacks")
    return Config(
        name=tree.text("name"),
        listen=readable(tree, "listen", address),
        directory=readable(tree, "discovery", address),
        deployer=readable(tree, "pipeline.address", address),
        seed=readable(tree, "seed", lambda text: int(text, 16)),
        peer_listen=readable(tree, "peer_listen", address) if told else None,
        peers=readable(tree, "peers", lambda all_: tuple(map(address, all_))) if told else (),
        peers_all=readable(tree, "peers_all", address) if told else None,
        news=news,
        known=readable(tree, "known", members),
        load_told=bool(tree.branch("settings.reporting").root.get("names")),
        limits=limits(tree),
        settings=known,
    )


def read(path: str) -> Config:
    try:
        root = json.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigError(f"{path}: can't be read: {error.strerror}") from None
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"{path}: is not JSON: {error}") from None
    if not isinstance(root, dict):
        raise ConfigError(f"{path}: is not a JSON object")
    try:
        return decode(root)
    except SettingsError as error:
        raise ConfigError(f"{path}: {error}") from None
