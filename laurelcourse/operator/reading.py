"""Reads the operators' file: XML, held against the schema, then against what the settings mean."""

import re
from decimal import Decimal
from importlib.resources import files
from pathlib import Path
from typing import Any

from lxml import etree

from laurelcourse.operator import form, meaning
from laurelcourse.operator.form import Fault

XS = {"xs": "http://www.w3.org/2001/XMLSchema"}
UNFIT = re.compile(
    r"(?P<place>.*): \[facet 'pattern'\] The value '(?P<value>.*)' is not accepted by"
    r" the pattern '(?P<pattern>.*)'\."
)
SPACE = "{urn:laurelcourse:operator:1}"
TIMES = {"us": 1, "ms": 1000, "min": 60_000_000, "s": 1_000_000, "h": 3_600_000_000, "d": 86_400_000_000}
SIZES = {"KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30, "B": 1}
# What the schema's patterns ask for, in words that help to mend it.
WANTED = {
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
HEARTBEATS, PATIENCE = 10, 2  # in a beat of the fleet, where its bounds are not told
MOST = 4 << 20  # bytes of a settings file


class OperatorError(Exception):
    """What is wrong with a settings file: a line of text for each fault, `path:line: words`."""

    def __init__(self, path: str, faults: list[Fault]) -> None:
        self.path, self.faults = path, sorted(faults)
        super().__init__("\n".join(f"{path}:{fault.line}: {fault.words}" for fault in self.faults))


def read(path: str) -> form.Operator:
    """The settings; raises OperatorError with every fault found."""
    try:
        raw = Path(path).read_bytes()
    except OSError as error:
        raise OperatorError(path, [Fault(0, f"can't be read: {error.strerror}")]) from None
    if len(raw) > MOST:
        raise OperatorError(path, [Fault(0, f"is longer than {MOST} bytes")])
    # No entities and no fetching: a settings file is data.
    parser = etree.XMLParser(resolve_entities=False, no_network=True, load_dtd=False, remove_comments=True)
    try:
        root = etree.fromstring(raw, parser)
    except etree.XMLSyntaxError as error:
        words = str(error.msg).partition(", line ")[0]
        raise OperatorError(path, [Fault(error.lineno or 0, f"is not XML: {words}")]) from None
    with files("laurelcourse.operator").joinpath("operator.xsd").open("rb") as schema_file:
        described = etree.parse(schema_file)
    schema = etree.XMLSchema(described, attribute_defaults=True)
    if not schema.validate(root):
        raise OperatorError(path, _structure(schema.error_log, _wanted(described)))
    fleet = root.find(SPACE + "fleet")
    found = form.Operator(
        path,
        tuple(_tuf(node, described) for node in root.findall(SPACE + "tuf")),
        None if fleet is None else _fleet(fleet, described),
    )
    if faults := meaning.faults(found, Path(path).parent):
        raise OperatorError(path, faults)
    return found


def _structure(errors: Any, wanted: dict[str, str]) -> list[Fault]:  # noqa: ANN401
    """The schema's complaints in plain words."""
    found = []
    for error in errors:
        words = error.message.replace(SPACE, "")
        if (said := UNFIT.fullmatch(words)) and said["pattern"] in wanted:
            words = f"{said['place']}: '{said['value']}' should be {wanted[said['pattern']]}"
        found.append(Fault(error.line, words))
    return list(dict.fromkeys(found))


def _wanted(schema: Any) -> dict[str, str]:  # noqa: ANN401
    """By each pattern of a named type, what it asks for."""
    types = schema.xpath("//xs:simpleType[@name]", namespaces=XS)
    patterns = ((one.get("name"), one.xpath(".//xs:pattern/@value", namespaces=XS)) for one in types)
    return {found[0]: WANTED[name] for name, found in patterns if found and name in WANTED}


def _time(text: str) -> int:
    unit = next(unit for unit in TIMES if text.endswith(unit))
    return int(Decimal(text[: -len(unit)]) * TIMES[unit])


def _size(text: str) -> int:
    text = text.removesuffix("/s")
    unit = next(unit for unit in SIZES if text.endswith(unit))
    return int(text[: -len(unit)]) * SIZES[unit]


def _address(text: str) -> form.Address:
    host, _, port = text.rpartition(":")
    return host, int(port)


def _shares(text: str) -> tuple[float, ...]:
    return tuple(float(part) for part in text.split())


def _one(kind: type, node: Any, **read: Any) -> Any:  # noqa: ANN401
    """A value of this kind from an element's attributes, each read as told, else taken as text."""
    names = {name: name.replace("_", "-") for name in kind._fields if name != "line"}
    values = {name: node.get(attribute) for name, attribute in names.items()}
    return kind(
        line=node.sourceline,
        **{
            name: read[name](value) if name in read and value is not None else value
            for name, value in values.items()
        },
    )


def _truth(text: str) -> bool:
    return text in ("true", "1")


def _fleet(node: Any, described: Any) -> form.Fleet:  # noqa: ANN401
    beat = _time(node.get("beat"))
    told = node.find(SPACE + "bounds")
    bounds = _one(
        form.KeeperBounds,
        _Empty(described, "bounds", node.sourceline) if told is None else told,
        heartbeat=_time,
        patience=_time,
        batch=_size,
        piece=_size,
        ahead=int,
        waiting=int,
        snapshot_every=int,
    )
    bounds = bounds._replace(
        heartbeat=beat // HEARTBEATS if bounds.heartbeat is None else bounds.heartbeat,
        patience=beat // PATIENCE if bounds.patience is None else bounds.patience,
    )
    listen, limits = node.get("listen"), node.find(SPACE + "workflow-limits")
    return form.Fleet(
        line=node.sourceline,
        name=node.get("name"),
        listen=_address(listen) if listen else None,
        folder=node.get("folder"),
        lease=_time(node.get("lease")),
        beat=beat,
        drift=int(node.get("drift")),
        sessions=int(node.get("sessions")),
        alone=_truth(node.get("alone")),
        spread=_truth(node.get("spread")),
        keepers=tuple(_one(form.Keeper, one, address=_address) for one in node.findall(SPACE + "keeper")),
        bounds=bounds,
        budgets=tuple(_budget(one) for one in node.findall(SPACE + "budget")),
        workflows=tuple(_workflow(one) for one in node.findall(SPACE + "workflow")),
        workflow_limits=None
        if limits is None
        else _one(form.WorkflowLimits, limits, in_flight=int, by_tenant=int, behind=int, keeps=_time),
        flows_port=int(node.get("flows-port") or 0),
        sites=tuple(_site(one) for one in node.findall(SPACE + "site")),
        links=tuple(_one(form.Link, one, capacity=_size, kept=_size) for one in node.findall(SPACE + "link")),
    )


def _budget(node: Any) -> form.Budget:  # noqa: ANN401
    found = _one(form.Budget, node, whole=int, floor=int, relays=int, window=_time, freed_after=_time)
    return found._replace(window=found.window or 0, freed_after=found.freed_after or 0)


def _site(node: Any) -> form.Site:  # noqa: ANN401
    return _one(form.Site, node, slots=int)._replace(
        doors=tuple(_one(form.Door, one, address=_address) for one in node)
    )


def _workflow(node: Any) -> form.Workflow:  # noqa: ANN401
    found = _one(form.Workflow, node, timeout=_time, tries=int, back_off=_time, longest_back_off=_time)
    return found._replace(steps=tuple(_step(one) for one in node))


def _step(node: Any) -> form.Step:  # noqa: ANN401
    undo = node.find(SPACE + "undo")
    return _one(form.Step, node, timeout=_time, effect=_truth, no_return=_truth)._replace(
        undo=None if undo is None else _one(form.Undo, undo, timeout=_time, harmless=_truth)
    )


def _tuf(node: Any, described: Any) -> form.Tuf:  # noqa: ANN401
    def part(name: str) -> Any:  # noqa: ANN401
        return node.find(SPACE + name)

    def given(name: str) -> Any:  # noqa: ANN401
        found = part(name)
        return _Empty(described, name, node.sourceline) if found is None else found

    mirrors = part("mirrors")
    listed = tuple(_one(form.Mirror, one, address=_address, build=int) for one in mirrors)
    directory = mirrors.get("directory")
    release, uptane, state = part("release"), part("uptane"), part("state")
    return form.Tuf(
        line=node.sourceline,
        name=node.get("name"),
        listen=_address(node.get("listen")),
        tries=int(node.get("tries")),
        mirrors=form.Mirrors(mirrors.sourceline, _address(directory) if directory else None, listed),
        release=None
        if release is None
        else _one(
            form.Release,
            release,
            deployer=_address,
            caps=_shares,
            shares=_shares,
            free=int,
            window=_time,
            bake=_time,
        ),
        repositories=tuple(_one(form.Repository, one) for one in node.findall(SPACE + "repository")),
        uptane=None if uptane is None else _one(form.Uptane, uptane, memory=_time, directed_only=_truth),
        routes=tuple(
            form.Route(
                one.sourceline,
                one.get("name"),
                _time(one.get("latency-objective")),
                _time(one.get("timeout")),
                float(one.get("earnings")),
            )
            for one in node.findall(SPACE + "route")
        ),
        freshness=_one(form.Freshness, given("freshness"), ask_again=_time, serve_proven=_time),
        rests=_one(form.Rests, given("rests"), behind=_time, wrong=_time, most=float),
        limits=_one(
            form.Limits,
            given("limits"),
            files=int,
            files_per_mirror=int,
            files_per_client=int,
            bytes=_size,
            chunk=_size,
            metadata=_size,
            manifest=_size,
            floor=_size,
            floor_over=_time,
        ),
        folder=None if state is None else state.get("folder"),
        folder_line=node.sourceline if state is None else state.sourceline,
    )


class _Empty:
    """An element that is not there, with the schema's defaults for its attributes."""

    def __init__(self, schema: Any, name: str, line: int) -> None:  # noqa: ANN401
        self.sourceline = line
        found = schema.xpath("//xs:complexType[@name=$name]/xs:attribute", namespaces=XS, name=name)
        self.values = {one.get("name"): one.get("default") for one in found}

    def get(self, name: str) -> str | None:
        return self.values.get(name)
