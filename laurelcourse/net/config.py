"""A relay's configuration: one JSON file, read and validated before any socket opens."""

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from laurelcourse import interface as face
from laurelcourse import settings
from laurelcourse.net.limits import Limits, limits
from laurelcourse.net.payloads import (
    Address,
    BuildState,
    PayloadError,
    UnitList,
    parse_address,
    parse_build_state,
    parse_unit_list,
)
from laurelcourse.settings import SettingsError, SettingsTree


class ConfigError(Exception):
    """The file's path and its fault, in one line."""


class Config(NamedTuple):
    """What the file says, decoded."""

    name: str
    listen: Address
    directory: Address
    deployer: Address
    seed: int
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_all: Address | None
    news: BuildState
    known: UnitList
    load_told: bool  # units report their load with their answers
    limits: Limits
    settings: settings.Settings


def parse_field(tree: SettingsTree, path: str, parse: Callable) -> Any:  # noqa: ANN401
    """Returns what `parse` makes of the value at a path. Raises SettingsError."""
    try:
        return parse(tree.value(path))
    except PayloadError as error:
        raise SettingsError(f"has in '{path}' {error}") from None
    except (TypeError, ValueError, AttributeError):
        raise tree.unreadable(path) from None


def decode(root: dict) -> Config:
    """Returns the configuration that a JSON object holds. Raises SettingsError."""
    tree = SettingsTree(root)
    known = settings.decode(tree.branch("settings"))
    has_peers, news = known.may_message_peers, parse_field(tree, "pipeline.news", parse_build_state)
    if news.standing == face.ON_TRIAL and news.stage >= len(known.stage_caps):
        raise SettingsError(f"has in 'pipeline.news' stage {news.stage}, which 'settings.domain.rings' lacks")
    return Config(
        name=tree.text("name"),
        listen=parse_field(tree, "listen", parse_address),
        directory=parse_field(tree, "discovery", parse_address),
        deployer=parse_field(tree, "pipeline.address", parse_address),
        seed=parse_field(tree, "seed", lambda text: int(text, 16)),
        peer_listen=parse_field(tree, "peer_listen", parse_address) if has_peers else None,
        peers=(
            parse_field(tree, "peers", lambda texts: tuple(map(parse_address, texts))) if has_peers else ()
        ),
        peers_all=parse_field(tree, "peers_all", parse_address) if has_peers else None,
        news=news,
        known=parse_field(tree, "known", parse_unit_list),
        load_told=bool(tree.branch("settings.reporting").root.get("names")),
        limits=limits(tree),
        settings=known,
    )


def read(path: str) -> Config:
    """Reads a configuration file. Raises ConfigError."""
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
