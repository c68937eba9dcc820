"""Reads the operators' file: XML, validated against the schema, then by `validation.py`."""

import re
from decimal import Decimal
from importlib.resources import files
from pathlib import Path
from typing import Any

from lxml import etree

from laurelcourse.operator import settings, validation
from laurelcourse.operator.settings import Fault

SCHEMA_NAMESPACES = {"xs": "http://www.w3.org/2001/XMLSchema"}
PATTERN_MISMATCH = re.compile(
    r"(?P<place>.*): \[facet 'pattern'\] The value '(?P<value>.*)' is not accepted by"
    r" the pattern '(?P<pattern>.*)'\."
)
NAMESPACE = "{urn:laurelcourse:operator:1}"

# By suffix; a suffix stands before those that it ends with.
MICROSECONDS_BY_UNIT = {
    "us": 1,
    "ms": 1000,
    "min": 60_000_000,
    "s": 1_000_000,
    "h": 3_600_000_000,
    "d": 86_400_000_000,
}
BYTES_BY_UNIT = {"KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30, "B": 1}

# What the patterns of the schema's types ask for.
DESCRIPTION_BY_TYPE = {
    "duration": "a time with its unit, such as 500ms, 2s or 1h",
    "address": "an IPv4 address and a port",
    "size": "a size with its unit, such as 64KiB",
    "rate": "a rate, such as 16KiB/s",
    "name": "a name of letters, digits, '-', '.' and '_'",
    "share": "a share from 0 to 1",
    "amount": "a whole number",
    "parts": "parts of a million, a whole number",
    "prefix": "a path that begins and ends with '/'",
    "count": "a whole number from 1 to 1000000",
}

# Of the renew interval, where the keepers' bounds are not set.
HEARTBEATS_PER_INTERVAL = 10
ELECTION_TIMEOUTS_PER_INTERVAL = 2

MAX_FILE_BYTES = 4 << 20


class OperatorError(Exception):
    """What is wrong with a settings file: a line of text for each fault, `path:line: message`."""

    def __init__(self, path: str, faults: list[Fault]) -> None:
        self.path = path
        self.faults = sorted(faults)
        super().__init__("\n".join(f"{path}:{fault.line}: {fault.message}" for fault in self.faults))


def read(path: str) -> settings.Operator:
    """Returns the settings. Raises OperatorError with all faults."""
    root = _parse(path)
    with files("laurelcourse.operator").joinpath("operator.xsd").open("rb") as schema_file:
        schema_tree = etree.parse(schema_file)
    schema = etree.XMLSchema(schema_tree, attribute_defaults=True)
    if not schema.validate(root):
        raise OperatorError(path, _schema_faults(schema.error_log, _pattern_descriptions(schema_tree)))
    fleet = root.find(NAMESPACE + "fleet")
    operator = settings.Operator(
        path,
        tuple(_read_tuf(element, schema_tree) for element in root.findall(NAMESPACE + "tuf")),
        None if fleet is None else _read_fleet(fleet, schema_tree),
    )
    if faults := validation.find_faults(operator, Path(path).parent):
        raise OperatorError(path, faults)
    return operator


def _parse(path: str) -> Any:  # noqa: ANN401
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise OperatorError(path, [Fault(0, f"can't be read: {error.strerror}")]) from None
    if len(data) > MAX_FILE_BYTES:
        raise OperatorError(path, [Fault(0, f"is longer than {MAX_FILE_BYTES} bytes")])
    # No entities and no network: a settings file is data.
    parser = etree.XMLParser(resolve_entities=False, no_network=True, load_dtd=False, remove_comments=True)
    try:
        return etree.fromstring(data, parser)
    except etree.XMLSyntaxError as error:
        message = str(error.msg).partition(", line ")[0]
        raise OperatorError(path, [Fault(error.lineno or 0, f"is not XML: {message}")]) from None


def _schema_faults(errors: Any, descriptions: dict[str, str]) -> list[Fault]:  # noqa: ANN401
    """Returns the schema's errors, with patterns replaced by descriptions."""
    faults = []
    for error in errors:
        message = error.message.replace(NAMESPACE, "")
        mismatch = PATTERN_MISMATCH.fullmatch(message)
        if mismatch and mismatch["pattern"] in descriptions:
            expected = descriptions[mismatch["pattern"]]
            message = f"{mismatch['place']}: '{mismatch['value']}' should be {expected}"
        faults.append(Fault(error.line, message))
    return list(dict.fromkeys(faults))


def _pattern_descriptions(schema_tree: Any) -> dict[str, str]:  # noqa: ANN401
    """Returns by the pattern of each named type what it asks for."""
    types = schema_tree.xpath("//xs:simpleType[@name]", namespaces=SCHEMA_NAMESPACES)
    named_patterns = (
        (element.get("name"), element.xpath(".//xs:pattern/@value", namespaces=SCHEMA_NAMESPACES))
        for element in types
    )
    return {
        patterns[0]: DESCRIPTION_BY_TYPE[name]
        for name, patterns in named_patterns
        if patterns and name in DESCRIPTION_BY_TYPE
    }


# Values of attributes


def _read_time(text: str) -> int:
    unit = next(unit for unit in MICROSECONDS_BY_UNIT if text.endswith(unit))
    return int(Decimal(text[: -len(unit)]) * MICROSECONDS_BY_UNIT[unit])


def _read_size(text: str) -> int:
    text = text.removesuffix("/s")
    unit = next(unit for unit in BYTES_BY_UNIT if text.endswith(unit))
    return int(text[: -len(unit)]) * BYTES_BY_UNIT[unit]


def _read_address(text: str) -> settings.Address:
    host, _, port = text.rpartition(":")
    return host, int(port)


def _read_shares(text: str) -> tuple[float, ...]:
    return tuple(float(part) for part in text.split())


def _read_bool(text: str) -> bool:
    return text in ("true", "1")


def _read_element(kind: type, element: Any, **readers: Any) -> Any:  # noqa: ANN401
    """Returns a value of this kind from an element's attributes, by a reader each, or as text."""
    attributes = {field: field.replace("_", "-") for field in kind._fields if field != "line"}
    texts = {field: element.get(attribute) for field, attribute in attributes.items()}
    return kind(
        line=element.sourceline,
        **{
            field: readers[field](text) if field in readers and text is not None else text
            for field, text in texts.items()
        },
    )


# Elements


def _read_fleet(element: Any, schema_tree: Any) -> settings.Fleet:  # noqa: ANN401
    interval = _read_time(element.get("beat"))
    listen, limits = element.get("listen"), element.find(NAMESPACE + "workflow-limits")
    return settings.Fleet(
        line=element.sourceline,
        name=element.get("name"),
        listen=_read_address(listen) if listen else None,
        folder=element.get("folder"),
        lease=_read_time(element.get("lease")),
        beat=interval,
        drift=int(element.get("drift")),
        sessions=int(element.get("sessions")),
        alone=_read_bool(element.get("alone")),
        spread=_read_bool(element.get("spread")),
        keepers=tuple(
            _read_element(settings.Keeper, keeper, address=_read_address)
            for keeper in element.findall(NAMESPACE + "keeper")
        ),
        bounds=_read_bounds(element, schema_tree, interval),
        budgets=tuple(_read_budget(budget) for budget in element.findall(NAMESPACE + "budget")),
        workflows=tuple(_read_workflow(workflow) for workflow in element.findall(NAMESPACE + "workflow")),
        workflow_limits=None
        if limits is None
        else _read_element(
            settings.WorkflowLimits, limits, in_flight=int, by_tenant=int, behind=int, keeps=_read_time
        ),
        flows_port=int(element.get("flows-port") or 0),
        sites=tuple(_read_site(site) for site in element.findall(NAMESPACE + "site")),
        links=tuple(
            _read_element(settings.Link, link, capacity=_read_size, kept=_read_size)
            for link in element.findall(NAMESPACE + "link")
        ),
    )


def _read_bounds(fleet: Any, schema_tree: Any, interval: int) -> settings.KeeperBounds:  # noqa: ANN401
    element = fleet.find(NAMESPACE + "bounds")
    bounds = _read_element(
        settings.KeeperBounds,
        _MissingElement(schema_tree, "bounds", fleet.sourceline) if element is None else element,
        heartbeat=_read_time,
        patience=_read_time,
        batch=_read_size,
        piece=_read_size,
        ahead=int,
        waiting=int,
        snapshot_every=int,
    )
    return bounds._replace(
        heartbeat=interval // HEARTBEATS_PER_INTERVAL if bounds.heartbeat is None else bounds.heartbeat,
        patience=interval // ELECTION_TIMEOUTS_PER_INTERVAL if bounds.patience is None else bounds.patience,
    )


def _read_budget(element: Any) -> settings.Budget:  # noqa: ANN401
    budget = _read_element(
        settings.Budget,
        element,
        whole=int,
        floor=int,
        relays=int,
        window=_read_time,
        freed_after=_read_time,
    )
    return budget._replace(window=budget.window or 0, freed_after=budget.freed_after or 0)


def _read_site(element: Any) -> settings.Site:  # noqa: ANN401
    doors = tuple(_read_element(settings.Door, door, address=_read_address) for door in element)
    return _read_element(settings.Site, element, slots=int)._replace(doors=doors)


def _read_workflow(element: Any) -> settings.Workflow:  # noqa: ANN401
    workflow = _read_element(
        settings.Workflow,
        element,
        timeout=_read_time,
        tries=int,
        back_off=_read_time,
        longest_back_off=_read_time,
    )
    return workflow._replace(steps=tuple(_read_step(step) for step in element))


def _read_step(element: Any) -> settings.Step:  # noqa: ANN401
    undo = element.find(NAMESPACE + "undo")
    step = _read_element(settings.Step, element, timeout=_read_time, effect=_read_bool, no_return=_read_bool)
    return step._replace(
        undo=None
        if undo is None
        else _read_element(settings.Undo, undo, timeout=_read_time, harmless=_read_bool)
    )


def _read_tuf(element: Any, schema_tree: Any) -> settings.Tuf:  # noqa: ANN401
    def find(name: str) -> Any:  # noqa: ANN401
        return element.find(NAMESPACE + name)

    def find_or_default(name: str) -> Any:  # noqa: ANN401
        child = find(name)
        return _MissingElement(schema_tree, name, element.sourceline) if child is None else child

    uptane, state = find("uptane"), find("state")
    return settings.Tuf(
        line=element.sourceline,
        name=element.get("name"),
        listen=_read_address(element.get("listen")),
        tries=int(element.get("tries")),
        mirrors=_read_mirrors(find("mirrors")),
        release=_read_release(find("release")),
        repositories=tuple(
            _read_element(settings.Repository, repository)
            for repository in element.findall(NAMESPACE + "repository")
        ),
        uptane=None
        if uptane is None
        else _read_element(settings.Uptane, uptane, memory=_read_time, directed_only=_read_bool),
        routes=tuple(_read_route(route) for route in element.findall(NAMESPACE + "route")),
        freshness=_read_element(
            settings.Freshness,
            find_or_default("freshness"),
            ask_again=_read_time,
            serve_proven=_read_time,
        ),
        exclusions=_read_element(
            settings.MirrorExclusions,
            find_or_default("rests"),
            behind=_read_time,
            wrong=_read_time,
            most=float,
        ),
        limits=_read_limits(find_or_default("limits")),
        folder=None if state is None else state.get("folder"),
        folder_line=element.sourceline if state is None else state.sourceline,
    )


def _read_mirrors(element: Any) -> settings.Mirrors:  # noqa: ANN401
    directory = element.get("directory")
    listed = tuple(
        _read_element(settings.Mirror, mirror, address=_read_address, build=int) for mirror in element
    )
    return settings.Mirrors(element.sourceline, _read_address(directory) if directory else None, listed)


def _read_release(element: Any) -> settings.Release | None:  # noqa: ANN401
    if element is None:
        return None
    return _read_element(
        settings.Release,
        element,
        deployer=_read_address,
        caps=_read_shares,
        shares=_read_shares,
        free=int,
        window=_read_time,
        bake=_read_time,
    )


def _read_route(element: Any) -> settings.Route:  # noqa: ANN401
    return settings.Route(
        element.sourceline,
        element.get("name"),
        _read_time(element.get("latency-objective")),
        _read_time(element.get("timeout")),
        float(element.get("earnings")),
    )


def _read_limits(element: Any) -> settings.Limits:  # noqa: ANN401
    return _read_element(
        settings.Limits,
        element,
        files=int,
        files_per_mirror=int,
        files_per_client=int,
        bytes=_read_size,
        chunk=_read_size,
        metadata=_read_size,
        manifest=_read_size,
        floor=_read_size,
        floor_over=_read_time,
    )


class _MissingElement:
    """Stands for an element that is not there, with the schema's defaults for its attributes."""

    def __init__(self, schema_tree: Any, name: str, line: int) -> None:  # noqa: ANN401
        self.sourceline = line
        attributes = schema_tree.xpath(
            "//xs:complexType[@name=$name]/xs:attribute", namespaces=SCHEMA_NAMESPACES, name=name
        )
        self.values = {attribute.get("name"): attribute.get("default") for attribute in attributes}

    def get(self, name: str) -> str | None:
        return self.values.get(name)
