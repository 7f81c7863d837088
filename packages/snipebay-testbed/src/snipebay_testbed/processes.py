"""Starts a deployment as separate processes on loopback addresses."""

import contextlib
import json
import pathlib
import signal
import socket
import subprocess
import sys
import time

import attrs
from snipebay_cli.client import OperatorClient

from snipebay_testbed.deployments import Deployment

__all__ = ["RunningDeployment", "read_run_counts", "reserve_ports"]

STUB_PROCESSES = 2
BACKEND_PORT_OFFSET = 100
BIN_DIRECTORY = pathlib.Path(sys.executable).parent
# Ports of one deployment; the last one is bound while they are in use.
PORT_COUNT = 200
LAST_PORT = 32_000


@contextlib.contextmanager
def reserve_ports(first_port):
    """Yield the first of ``PORT_COUNT`` ports that no other run uses.

    Args:
        first_port: First port to try.

    Raises:
        OSError: If all are in use.
    """
    for port in range(first_port, LAST_PORT, PORT_COUNT):
        with contextlib.closing(socket.socket()) as guard:
            try:
                guard.bind(("127.0.0.1", port + PORT_COUNT - 1))
            except OSError:
                # Another run holds them.
                continue
            yield port
            return
    raise OSError(f"no free ports from {first_port} to {LAST_PORT}")


@attrs.define
class RunningDeployment:
    """A deployment that runs as processes on this machine.

    Attributes:
        name: Key in ``DEPLOYMENTS``.
        deployment: Topology and services.
        directory: Directory for settings, data, logs and the ledger.
        first_port: First port used.
        seed: Random seed of the stub backend servers.
        processes: Instance processes by instance id.
        stub_processes: Processes that run the stub backend servers.
        settings_paths: Settings files by instance id.
    """

    name: str
    deployment: Deployment
    directory: pathlib.Path
    first_port: int
    seed: int = 1
    processes: dict = attrs.Factory(dict)
    stub_processes: list = attrs.Factory(list)
    settings_paths: dict = attrs.Factory(dict)

    @property
    def entries(self):
        """Addresses of the entry instances."""
        return [
            f"127.0.0.1:{self.first_port + 3 * i}"
            for i in range(len(self.settings_paths))
        ]

    @property
    def ledger(self):
        return self.directory / "ledger.jsonl"

    @property
    def client(self):
        return OperatorClient(tuple(self.entries))

    @property
    def backends(self):
        return self.deployment.backends(self.first_port + BACKEND_PORT_OFFSET)

    def start_instances(self):
        """Start all instances."""
        self.directory.mkdir(parents=True, exist_ok=True)
        self.settings_paths = self.deployment.write_instance_settings(
            self.directory, self.first_port
        )
        for instance_id in self.settings_paths:
            self.start_instance(instance_id)

    def start_instance(self, instance_id):
        """Start or restart one instance."""
        log = open(self.directory / f"{instance_id}.log", "a")  # noqa: SIM115
        self.processes[instance_id] = subprocess.Popen(
            [BIN_DIRECTORY / "snipebayd", self.settings_paths[instance_id]],
            stderr=log,
            stdout=log,
        )

    def start_stubs(self):
        """Start the stub backend servers."""
        for part in range(STUB_PROCESSES):
            log = open(self.directory / f"standins-{part}.log", "a")  # noqa: SIM115
            self.stub_processes.append(
                subprocess.Popen(
                    [
                        sys.executable,
                        "-m",
                        "snipebay_testbed.standin",
                        self.name,
                        f"--first-port={self.first_port + BACKEND_PORT_OFFSET}",
                        f"--entries={','.join(self.entries)}",
                        f"--ledger={self.ledger}",
                        f"--part={part}",
                        f"--parts={STUB_PROCESSES}",
                        f"--seed={self.seed}",
                    ],
                    stderr=log,
                    stdout=log,
                )
            )

    def wait_for_status(self, condition, timeout_s):
        """Poll the status until it meets a condition.

        Returns:
            Seconds waited, or None at the timeout.
        """
        start_s = time.monotonic()
        while time.monotonic() - start_s < timeout_s:
            status = self.client.status().value_or(None)
            if status is not None and condition(status):
                return time.monotonic() - start_s
            time.sleep(0.1)
        return None

    def run_cli(self, *args):
        """Run the operator client and return its JSON output."""
        command = [BIN_DIRECTORY / "snipebay", *args, "--json"]
        command.append(f"--instances={','.join(self.entries)}")
        completed = subprocess.run(command, capture_output=True, text=True, timeout=30)
        if completed.returncode:
            raise RuntimeError(
                f"{args}: exit status {completed.returncode}: {completed.stdout}"
            )
        return json.loads(completed.stdout)

    def is_control(self, instance_id):
        """Return True for a control instance; only these have a data directory."""
        return (self.directory / instance_id).is_dir()

    def send_signal(self, instance_id, signal_number):
        """Send a signal to one instance."""
        self.processes[instance_id].send_signal(signal_number)

    def stop(self, timeout_s=12.0):
        """Stop all instances gracefully and kill those left at the timeout.

        Stub backend servers are killed at once.

        Returns:
            Ids of the instances that had to be killed.
        """
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGTERM)
        end_s = time.monotonic() + timeout_s
        killed = []
        for instance_id, process in self.processes.items():
            try:
                process.wait(max(0.1, end_s - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
                killed.append(instance_id)
        for process in self.stub_processes:
            process.kill()
            process.wait()
        return killed


def read_run_counts(path):
    """Return how many runs the ledger records for each idempotency key."""
    counts = {}
    for line in path.read_text().splitlines():
        row = json.loads(line)
        if row["what"] == "run":
            counts[row["key"]] = counts.get(row["key"], 0) + 1
    return counts
