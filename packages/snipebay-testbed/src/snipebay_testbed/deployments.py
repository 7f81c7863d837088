"""Two reference deployments, and settings to run them on one machine."""

import pathlib

import attrs

__all__ = ["DEPLOYMENTS", "BackendSpec", "Deployment", "ServiceSpec"]

CONTROL_COUNT = 3


@attrs.frozen
class ServiceSpec:
    """A service and its test backend servers.

    Attributes:
        name: Name of the service.
        backends: Number of backend servers.
        slots: Slots per backend server, assigned cyclically.
        service_ms: Median service time of a request.
        rules: Rules set on the service itself, as YAML.
    """

    name: str
    backends: int
    slots: tuple
    service_ms: float
    rules: str


@attrs.frozen
class BackendSpec:
    """One test backend server."""

    backend_id: str
    service: str
    domain: str
    region: str
    slots: int
    service_ms: float
    address: str


@attrs.frozen
class Deployment:
    """Topology and services of one deployment.

    Attributes:
        name: Name of the organization that runs it.
        regions: Failure domains by region.
        services: Services; in the reference deployments a quick check, a
            non-idempotent write and a long-running read, in this order.
        entries: Number of entry instances.
        domain_ms: One-way delay between failure domains of a region.
        region_ms: One-way delay between regions.
        client_ms: One-way delay to clients.
        connect_ms: Time to open a connection.
        probe_ms: Time to respond to a probe.
    """

    name: str
    regions: dict
    services: tuple
    entries: int
    domain_ms: float
    region_ms: float
    client_ms: float
    connect_ms: float = 1.0
    probe_ms: float = 1.0

    @property
    def domains(self):
        """Pairs of failure domain and region."""
        return [(d, r) for r, domains in self.regions.items() for d in domains]

    def backends(self, first_port=0):
        """Return all test backend servers, spread over the failure domains."""
        specs = []
        for service in self.services:
            for i in range(service.backends):
                domain, region = self.domains[i % len(self.domains)]
                specs.append(
                    BackendSpec(
                        f"{service.name}-{i + 1}",
                        service.name,
                        domain,
                        region,
                        service.slots[i % len(service.slots)],
                        service.service_ms,
                        f"127.0.0.1:{first_port + len(specs)}",
                    )
                )
        return specs

    def settings(self, **top_rules):
        """Return the settings tree as YAML.

        Args:
            **top_rules: Rules of the branch that all services inherit from.
        """
        rules = {"shift_cap": 0.4, "ramp_per_s": 0.2, "slow_start_s": 2} | top_rules
        lines = ["regions:"]
        lines += [
            f"  {region}: {{domains: [{', '.join(domains)}]}}"
            for region, domains in self.regions.items()
        ]
        lines.append("links:")
        lines += [
            f"  - {{source: {a}, target: {b}, limit_mbit_s: 4000, "
            f"delay_ms: {self.region_ms:g}}}"
            for a in self.regions
            for b in self.regions
            if a != b
        ]
        lines.append("blocks:")
        lines += [
            f"  - {{network: 127.0.{i}.0/24, domain: {domain}}}"
            for i, (domain, _) in enumerate(self.domains)
        ]
        rules_text = ", ".join(f"{key}: {value}" for key, value in rules.items())
        lines += [
            "branches:",
            f"  everything: {{rules: {{{rules_text}}}}}",
            "services:",
        ]
        lines += [
            f"  {s.name}: {{parent: everything, rules: {{{s.rules}}}}}"
            for s in self.services
        ]
        return "\n".join(lines) + "\n"

    def write_instance_settings(self, directory, first_port):
        """Write the settings files of all instances and return their paths by id."""
        ids = [f"e{i + 1:02}" for i in range(self.entries)]
        locations = {
            entry_id: self.domains[i % len(self.domains)]
            for i, entry_id in enumerate(ids)
        }
        control_ids = ids[:: max(1, self.entries // CONTROL_COUNT)][:CONTROL_COUNT]
        ports = {entry_id: first_port + 3 * i for i, entry_id in enumerate(ids)}
        peers = "".join(
            f"  - {{id: {c}, internal: 127.0.0.1:{ports[c] + 1}, "
            f"region: {locations[c][1]}}}\n"
            for c in control_ids
        )
        paths = {}
        for entry_id in ids:
            domain, region = locations[entry_id]
            roles = "[entry, control]" if entry_id in control_ids else "[entry]"
            port = ports[entry_id]
            settings = (
                f"id: {entry_id}\nregion: {region}\ndomain: {domain}\n"
                f"roles: {roles}\nhttp: 127.0.0.1:{port}\n"
                f"internal: 127.0.0.1:{port + 1}\nmetrics: 127.0.0.1:{port + 2}\n"
                f"stop_timeout_s: 15\ntrace_share: 0.01\n"
                f"trace_file: {directory / f'{entry_id}.spans.jsonl'}\npeers:\n{peers}"
            )
            if entry_id in control_ids:
                settings += f"data: {directory / entry_id}\n"
            paths[entry_id] = pathlib.Path(directory, f"{entry_id}.yaml")
            paths[entry_id].write_text(settings)
        return paths


DEPLOYMENTS = {
    "marina": Deployment(
        "Marina Andina Etiquetas",
        {
            "norte": ("paita", "sechura"),
            "centro": ("callao", "chimbote"),
            "sur": ("ilo", "matarani"),
        },
        (
            ServiceSpec(
                "verificador",
                16,
                (5, 6),
                8.0,
                "deadline_ms: 800, priority: urgent, retries: 2, hedge_after_ms: 60",
            ),
            ServiceSpec(
                "emisor",
                12,
                (5, 6),
                15.0,
                "deadline_ms: 3000, priority: urgent, idempotent: false",
            ),
            ServiceSpec(
                "historial",
                12,
                (5, 6),
                120.0,
                "deadline_ms: 20000, priority: bulk, answer_bytes: 65536",
            ),
        ),
        11,
        4.0,
        35.0,
        8.0,
    ),
    "badvatten": Deployment(
        "Badvatten Samverkan",
        {
            "syd": ("malmo", "lund"),
            "mitt": ("orebro", "vasteras"),
            "norr": ("umea", "lulea"),
        },
        (
            ServiceSpec(
                "lagersvar",
                14,
                (3, 4),
                10.0,
                "deadline_ms: 800, priority: urgent, retries: 2, hedge_after_ms: 60",
            ),
            ServiceSpec(
                "bestall",
                12,
                (3, 4),
                20.0,
                "deadline_ms: 3000, priority: urgent, idempotent: false",
            ),
            ServiceSpec(
                "rapport",
                14,
                (3, 4),
                200.0,
                "deadline_ms: 30000, priority: bulk, answer_bytes: 65536",
            ),
        ),
        12,
        3.0,
        35.0,
        3.0,
        probe_ms=6.0,
    ),
}
