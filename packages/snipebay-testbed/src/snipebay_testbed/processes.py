"""Starts a deployment as separate processes on loopback addresses."""

import json
import pathlib
import signal
import subprocess
import sys
import time

import attrs
from snipebay_cli.client import OperatorClient

from snipebay_testbed.deployments import Deployment

__all__ = ["RunningDeployment", "read_ledger"]

STANDIN_PARTS = 2
BACKEND_PORT_OFFSET = 100
BIN = pathlib.Path(sys.executable).parent


@attrs.define
class RunningDeployment:
    """A deployment that runs as processes of this machine.

    Attributes:
        name: Key of the deployment.
        deployment: Its places and services.
        folder: Where settings, data, logs and the ledger are kept.
        first_port: First port used.
        seed: Seed of the stand-ins.
    """

    name: str
    deployment: Deployment
    folder: pathlib.Path
    first_port: int
    seed: int = 1
    instances: dict = attrs.Factory(dict)
    standins: list = attrs.Factory(list)
    paths: dict = attrs.Factory(dict)

    @property
    def entries(self):
        """Addresses of the entry instances."""
        return [f"127.0.0.1:{self.first_port + 3 * i}" for i in range(len(self.paths))]

    @property
    def ledger(self):
        return self.folder / "ledger.jsonl"

    @property
    def client(self):
        return OperatorClient(tuple(self.entries))

    @property
    def backends(self):
        return self.deployment.backends(self.first_port + BACKEND_PORT_OFFSET)

    def start_instances(self):
        """Start all instances."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self.paths = self.deployment.write_instances(self.folder, self.first_port)
        for instance_id in self.paths:
            self.start_instance(instance_id)

    def start_instance(self, instance_id):
        """Start one instance, also again after a stop."""
        log = open(self.folder / f"{instance_id}.log", "a")  # noqa: SIM115
        self.instances[instance_id] = subprocess.Popen(
            [BIN / "snipebayd", self.paths[instance_id]], stderr=log, stdout=log
        )

    def start_standins(self):
        """Start the stand-in backend servers."""
        for part in range(STANDIN_PARTS):
            log = open(self.folder / f"standins-{part}.log", "a")  # noqa: SIM115
            self.standins.append(
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
                        f"--parts={STANDIN_PARTS}",
                        f"--seed={self.seed}",
                    ],
                    stderr=log,
                    stdout=log,
                )
            )

    def wait_status(self, condition, limit_s):
        """Return the seconds until the status meets a condition, or None."""
        start_s = time.monotonic()
        while time.monotonic() - start_s < limit_s:
            status = self.client.status().value_or(None)
            if status is not None and condition(status):
                return time.monotonic() - start_s
            time.sleep(0.1)
        return None

    def cli(self, *args):
        """Run the operator client and return its JSON."""
        command = [BIN / "snipebay", *args, "--json"]
        command.append(f"--instances={','.join(self.entries)}")
        done = subprocess.run(command, capture_output=True, text=True, timeout=30)
        if done.returncode:
            raise RuntimeError(f"{args}: exit {done.returncode}: {done.stdout}")
        return json.loads(done.stdout)

    def has_disk(self, instance_id):
        """Return True for a control instance."""
        return (self.folder / instance_id).is_dir()

    def signal(self, instance_id, number):
        """Send a signal to one instance."""
        self.instances[instance_id].send_signal(number)

    def stop(self, limit_s=12.0):
        """Stop everything gracefully, and hard what is left at the limit.

        Returns:
            Ids of the instances that had to be killed.
        """
        for process in self.instances.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGTERM)
        end_s = time.monotonic() + limit_s
        killed = []
        for instance_id, process in self.instances.items():
            try:
                process.wait(max(0.1, end_s - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
                killed.append(instance_id)
        for process in self.standins:
            process.kill()
            process.wait()
        return killed


def read_ledger(path):
    """Return how often each idempotency key was run."""
    counts = {}
    for line in path.read_text().splitlines():
        row = json.loads(line)
        if row["what"] == "run":
            counts[row["key"]] = counts.get(row["key"], 0) + 1
    return counts
