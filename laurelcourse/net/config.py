"""A relay's configuration: one JSON file, read and judged before any socket opens."""

import json
from pathlib import Path
from typing import NamedTuple

from laurelcourse import settings
from laurelcourse.net.limits import Limits, limits
from laurelcourse.settings import SettingsError, Tree

Address = tuple[str, int]


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
    news: dict
    known: dict
    load_names: tuple[str, ...]   # what a probe's report holds; empty where units tell nothing
    limits: Limits
    settings: settings.Settings


def address(text: str) -> Address:
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"'{text}' is not an address")
    return host.strip("[]"), int(port)


def at(tree: Tree, path: str) -> Address:
    try:
        return address(tree.text(path))
    except ValueError:
        raise tree.unreadable(path) from None


def load_names(tree: Tree) -> tuple[str, ...]:
    names = tree.value("settings.reporting.names")
    return tuple(names.split(",") if isinstance(names, str) else names or ())


def mapping(tree: Tree, path: str) -> dict:
    found = tree.value(path)
    if not isinstance(found, dict):
        raise tree.unreadable(path)
    return found


def decode(root: dict) -> Config:
    tree = Tree(root)
    try:
        known = settings.decode(mapping(tree, "settings"))
    except SettingsError as error:
        raise SettingsError(f"settings: {error}") from None
    told = known.may_tell
    try:
        seed = int(tree.text("seed"), 16)
        peers = tuple(address(one) for one in tree.items("peers")) if told else ()
    except (TypeError, ValueError, AttributeError) as error:
        raise SettingsError(f"has an unreadable 'seed' or 'peers': {error}") from None
    return Config(
        name=tree.text("name"), listen=at(tree, "listen"), directory=at(tree, "discovery"),
        deployer=at(tree, "pipeline.address"), seed=seed,
        peer_listen=at(tree, "peer_listen") if told else None, peers=peers,
        peers_all=at(tree, "peers_all") if told else None, news=mapping(tree, "pipeline.news"),
        known=mapping(tree, "known"), load_names=load_names(tree), limits=limits(tree), settings=known)


def read(path: str) -> Config:
    try:
        root = json.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise ConfigError(f"{path}: can't be read: {error.strerror}") from None
    except ValueError as error:
        raise ConfigError(f"{path}: is not JSON: {error}") from None
    if not isinstance(root, dict):
        raise ConfigError(f"{path}: is not a JSON object")
    try:
        return decode(root)
    except SettingsError as error:
        raise ConfigError(f"{path}: {error}") from None
