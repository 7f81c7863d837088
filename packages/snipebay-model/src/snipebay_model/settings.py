"""The settings tree: regions, links, services and their rules."""

import ipaddress
import itertools

import attrs
from returns.result import Failure, Success

from snipebay_model.findings import Findings
from snipebay_model.rules import Rules
from snipebay_model.schema import (
    build,
    list_field,
    number_field,
    read_fields,
    text_field,
)
from snipebay_model.yaml_source import parse_yaml

__all__ = [
    "Block",
    "Branch",
    "Effective",
    "Link",
    "Region",
    "Settings",
    "Shift",
    "parse_settings",
]

DEFAULT_ORIGIN = "default"
SECTIONS = ("regions", "links", "blocks", "branches", "services", "shifts")


@attrs.frozen
class Region:
    """A region and its failure domains."""

    domains = list_field(doc="Failure domains of the region.")


@attrs.frozen
class Link:
    """The network between two regions: its traffic limit and its delay."""

    source = text_field(doc="Source region.")
    target = text_field(doc="Target region.")
    limit_mbit_s = number_field(
        1, 10_000_000, 4_000, unit="Mbit/s", doc="Traffic limit in each direction."
    )
    delay_ms = number_field(0, 10_000, 35, unit="ms", whole=False, doc="One-way delay.")


@attrs.frozen
class Block:
    """A block of client addresses and the failure domain nearest to it."""

    network = text_field(form="network", doc="Address block in CIDR form.")
    domain = text_field(doc="Nearest failure domain.")


@attrs.frozen
class Shift:
    """A share of a service's requests sent from one region to another."""

    service = text_field(doc="Service whose requests are shifted.")
    source = text_field(doc="Region where the requests arrive.")
    target = text_field(doc="Region that serves them instead.")
    share = number_field(0, 1, attrs.NOTHING, whole=False, doc="Share of the requests.")


@attrs.frozen
class Branch:
    """A branch or a service of the settings tree and the rules that it sets.

    Attributes:
        name: Name, unique among branches or among services.
        parent: Name of the branch that it inherits from, or None.
        own: Values of the rules that it sets itself, by name.
    """

    name: str
    parent: str | None
    own: dict


@attrs.frozen
class Effective:
    """The effective value of a rule and where it was set.

    Attributes:
        value: The value.
        origin: Name of the branch or service that set it, or ``default``.
    """

    value: object
    origin: str


@attrs.frozen
class Settings:
    """A valid settings tree.

    Attributes:
        regions: Regions by name.
        links: Links between regions that differ from the default.
        blocks: Blocks of client addresses.
        branches: Branches by name.
        services: Services by name, each as a :class:`Branch`.
        shifts: Shifts in force.
    """

    regions: dict
    links: tuple = ()
    blocks: tuple = ()
    branches: dict = attrs.Factory(dict)
    services: dict = attrs.Factory(dict)
    shifts: tuple = ()

    @property
    def domains(self):
        """Names of the regions by failure domain."""
        return {
            domain: name
            for name, region in self.regions.items()
            for domain in region.domains
        }

    def explain(self, service):
        """Return the rules of a service by name, each as an :class:`Effective`.

        Raises:
            KeyError: If the service is unknown.
        """
        result = {
            field.name: Effective(field.default, DEFAULT_ORIGIN)
            for field in attrs.fields(Rules)
        }
        for branch in reversed(list(self.lineage(self.services[service]))):
            for key, value in branch.own.items():
                result[key] = Effective(value, branch.name)
        return result

    def rules(self, service):
        """Return the effective rules of a service."""
        found = self.explain(service)
        return Rules(**{key: effective.value for key, effective in found.items()})

    def lineage(self, branch):
        """Yield a branch and its ancestors, nearest first."""
        while branch is not None:
            yield branch
            branch = self.branches.get(branch.parent)

    def link(self, source, target):
        """Return the link between two regions, with default values if not set."""
        for link in self.links:
            if (link.source, link.target) == (source, target):
                return link
        return Link(source=source, target=target)


def parse_settings(source_text, source="settings.yaml"):
    """Return ``Success`` of settings, or ``Failure`` of all findings.

    Args:
        source_text: The settings tree as YAML.
        source: File name for the findings.
    """
    findings = Findings(source)
    root = parse_yaml(source_text, findings)
    if root is None:
        return Failure(findings)
    if not root.is_mapping:
        findings.add(root, (), f"expected a mapping, got {root.plain!r}")
        return Failure(findings)
    for key in root.value:
        if key not in SECTIONS:
            findings.add_unknown_key(root.key_nodes[key], (), key, SECTIONS)
    links = _read_list(root, "links", Link, findings)
    blocks = _read_list(root, "blocks", Block, findings)
    shifts = _read_list(root, "shifts", Shift, findings)
    settings = Settings(
        regions=_read_mapping(root, "regions", findings, _read_region),
        links=tuple(links.values()),
        blocks=tuple(blocks.values()),
        branches=_read_mapping(root, "branches", findings, _read_branch),
        services=_read_mapping(root, "services", findings, _read_branch),
        shifts=tuple(shifts.values()),
    )
    _check_topology(settings, links, blocks, root, findings)
    _check_parents(settings, root, findings)
    _check_shifts(settings, shifts, root, findings)
    return Failure(findings) if findings else Success(settings)


# --- reading --------------------------------------------------------------


def _read_mapping(root, section, findings, read_item):
    """Return the items of a section that maps names to items.

    Args:
        root: Root node.
        section: Name of the section.
        findings: Collects all errors.
        read_item: Function of name, node, path and findings that returns the
            item, or None on error.
    """
    node = root.value.get(section)
    if node is None:
        if section in ("regions", "services"):
            findings.add(root, (section,), f"missing key {section!r}")
        return {}
    if not node.is_mapping:
        findings.add(node, (section,), f"expected a mapping, got {node.plain!r}")
        return {}
    items = {
        name: read_item(name, child, (section, str(name)), findings)
        for name, child in node.value.items()
    }
    return {name: item for name, item in items.items() if item is not None}


def _read_list(root, section, cls, findings):
    """Return the valid items of a section that is a list, by their index in it."""
    node = root.value.get(section)
    if node is None:
        return {}
    if not node.is_sequence:
        findings.add(node, (section,), f"expected a list, got {node.plain!r}")
        return {}
    items = {
        i: build(cls, child, (section, str(i)), findings)
        for i, child in enumerate(node.value)
    }
    return {i: item for i, item in items.items() if item is not None}


def _read_region(name, node, path, findings):
    return build(Region, node, path, findings)


def _read_branch(name, node, path, findings):
    if node.value is None:
        return Branch(name, None, {})
    if not node.is_mapping:
        findings.add(node, path, f"expected a mapping, got {node.plain!r}")
        return None
    for key in node.value:
        if key not in ("parent", "rules"):
            findings.add_unknown_key(
                node.key_nodes[key], path, key, ("parent", "rules")
            )
    parent = node.value.get("parent")
    rules = node.value.get("rules")
    own = (
        read_fields(Rules, rules, (*path, "rules"), findings)
        if rules is not None
        else {}
    )
    return Branch(name, parent.plain if parent else None, own or {})


# --- checks across sections ----------------------------------------------


def _check_topology(settings, links, blocks, root, findings):
    """Record unknown names, duplicate failure domains and duplicate blocks.

    Args:
        settings: The settings.
        links: Valid links by their index in the file.
        blocks: Valid blocks likewise.
        root: Root node.
        findings: Collects all errors.
    """
    region_of = {}
    for name, region in settings.regions.items():
        for domain in region.domains:
            if domain in region_of:
                findings.add(
                    root.value["regions"].value[name],
                    ("regions", name, "domains"),
                    f"failure domain {domain!r} is in {region_of[domain]!r} too",
                )
            region_of[domain] = name
    for i, link in links.items():
        for key in ("source", "target"):
            region = getattr(link, key)
            if region not in settings.regions:
                node = root.value["links"].value[i]
                findings.add(node, ("links", str(i), key), f"unknown region {region!r}")
    seen_networks = set()
    for i, block in blocks.items():
        node = root.value["blocks"].value[i]
        path = ("blocks", str(i))
        if block.domain not in region_of:
            findings.add(
                node, (*path, "domain"), f"unknown failure domain {block.domain!r}"
            )
        network = ipaddress.ip_network(block.network)
        if network in seen_networks:
            findings.add(node, (*path, "network"), f"duplicate block {block.network!r}")
        seen_networks.add(network)


def _check_parents(settings, root, findings):
    """Record unknown parents and inheritance cycles."""
    for section, items in (
        ("branches", settings.branches),
        ("services", settings.services),
    ):
        for name, branch in items.items():
            node = root.value[section].value[name]
            path = (section, str(name), "parent")
            if branch.parent is not None and branch.parent not in settings.branches:
                findings.add(node, path, f"unknown parent {branch.parent!r}")
            elif section == "branches" and _in_cycle(settings, branch):
                findings.add(node, path, f"branch {name!r} is its own ancestor")


def _in_cycle(settings, branch):
    """Return True when a branch is its own ancestor."""
    ancestors = itertools.islice(
        settings.lineage(branch), 1, len(settings.branches) + 1
    )
    return any(ancestor.name == branch.name for ancestor in ancestors)


def _check_shifts(settings, shifts, root, findings):
    """Record unknown names, shares over the cap and sums of shares over 100 %.

    Args:
        settings: The settings.
        shifts: Valid shifts by their index in the file.
        root: Root node.
        findings: Collects all errors.
    """
    totals = {}
    cyclic = any(_in_cycle(settings, branch) for branch in settings.branches.values())
    for i, shift in shifts.items():
        node, path = root.value["shifts"].value[i], ("shifts", str(i))
        known = _check_shift_references(settings, shift, node, path, findings)
        if not known or cyclic:
            continue
        key = (shift.service, shift.source)
        totals[key] = totals.get(key, 0) + shift.share
        if totals[key] > 1:
            findings.add(
                node,
                (*path, "share"),
                f"shares from {shift.source!r} add up to {totals[key]:.0%}, over 100 %",
            )
        cap = settings.rules(shift.service).shift_cap
        if shift.share > cap:
            findings.add(
                node, (*path, "share"), f"{shift.share!r} is over shift_cap {cap!r}"
            )


def _check_shift_references(settings, shift, node, path, findings):
    """Return True when a shift names a known service and two known regions."""
    unknown = [
        (key, kind, getattr(shift, key))
        for key, kind, table in (
            ("service", "service", settings.services),
            ("source", "region", settings.regions),
            ("target", "region", settings.regions),
        )
        if getattr(shift, key) not in table
    ]
    for key, kind, value in unknown:
        findings.add(node, (*path, key), f"unknown {kind} {value!r}")
    if shift.source == shift.target:
        findings.add(node, path, f"source and target are both {shift.source!r}")
        return False
    return not unknown
