"""Control instances on fakes, with faults to put them through."""

import attrs
import numpy as np
from snipebay_control.core import ControlConfig, ControlCore
from snipebay_model.codec import encode_body
from snipebay_model.messages import CommandReply, CommandRequest

from snipebay_testbed.fakes import FakeDisk, FakeNetwork, Scheduler

__all__ = ["ControlHost", "ControlRig"]

TICK_S = 0.05


class ControlHost:
    """One control instance: a core, its disk, and whether it runs."""

    def __init__(self, rig, instance_id, incarnation):
        self.rig = rig
        self.id = instance_id
        self.disk = FakeDisk()
        self.incarnation = incarnation
        self.core = None
        self.frozen = False
        self.crash_at_sync = ""
        self._held = []
        self._run = 0

    @property
    def node(self):
        return f"{self.id}#{self.incarnation}"

    @property
    def is_running(self):
        return self.core is not None

    def start(self):
        """Start the process on whatever its disk holds."""
        cfg = attrs.evolve(self.rig.cfg, node=self.node)
        rng = np.random.default_rng(self.rig.rng.integers(1 << 32))
        self.core = ControlCore(cfg, self.disk.load(), rng, self.rig.scheduler.now_s)
        self._run += 1
        self.rig.network.receivers[self.node] = self.receive
        self.rig.network.receivers[self.id] = self.receive
        self._tick(self._run)

    def kill(self):
        """Stop the process at once; what is not synced is gone."""
        self.core = None
        self.rig.network.receivers.pop(self.node, None)
        self.rig.network.receivers.pop(self.id, None)

    def lose_disk(self):
        """Kill the process and empty its disk, which gives a new incarnation."""
        self.kill()
        self.disk = FakeDisk()
        self.incarnation += "+"

    def freeze(self):
        """Let the process stand still; messages wait for it."""
        self.frozen = True

    def thaw(self):
        """Let the process go on with what has waited for it."""
        self.frozen = False
        held, self._held = self._held, []
        for sender, body in held:
            self.receive(sender, body)

    def receive(self, sender, body):
        """Hand a message to the core."""
        if self.frozen:
            self._held.append((sender, body))
        elif self.is_running:
            self.core.receive(sender, body, self.rig.scheduler.now_s)
            self._drain()

    def _tick(self, run):
        if run != self._run or not self.is_running:
            return
        if not self.frozen:
            self.core.tick(self.rig.scheduler.now_s)
            self._drain()
        self.rig.scheduler.after(TICK_S, self._tick, run)

    def _drain(self):
        """Do all work that the core has, or die in the middle of it."""
        while not (ready := self.core.pop_ready()).is_empty:
            if self._dies("before-sync"):
                return
            self.disk.save(ready)
            if self._dies("after-sync"):
                return
            self.core.complete_ready(ready)
        for target, body in self.core.pop_messages():
            if target != self.node:
                self.rig.network.send(self.node, target, body)

    def _dies(self, step):
        if self.crash_at_sync != step:
            return False
        self.crash_at_sync = ""
        self.kill()
        return True


class ControlRig:
    """A group of control instances and a client that sends commands.

    Args:
        seed: Seed of all chance.
        size: Number of control instances.
        cfg: Times to use in place of the usual ones.
        absent: Ids of instances that are not started yet.
        seeds: Ids of the instances that found the group, which others find it
            by; empty when all know one another.
        **network: Further arguments of the fake network.
    """

    def __init__(self, seed, size=3, *, cfg=None, absent=(), seeds=(), **network):
        self.rng = np.random.default_rng(seed)
        self.scheduler = Scheduler()
        self.network = FakeNetwork(self.scheduler, self.rng, **network)
        ids = tuple(f"c{i + 1}" for i in range(size))
        self.cfg = attrs.evolve(
            cfg or ControlConfig("", ids),
            peers=tuple(seeds) or ids,
            dynamic_membership=bool(seeds),
            initial_voters=tuple(f"{i}#a" for i in seeds),
        )
        self.hosts = {i: ControlHost(self, i, "a") for i in ids}
        self.outcomes = {}
        self._requests = 0
        self.network.receivers["client"] = self._on_reply
        for host in self.hosts.values():
            if host.id not in absent:
                host.start()

    @property
    def leader(self):
        """The host that leads and may serve, or None."""
        leaders = [
            host
            for host in self.hosts.values()
            if host.is_running
            and not host.frozen
            and host.core.raft.holds_lease(self.scheduler.now_s)
        ]
        return leaders[0] if leaders else None

    def elect(self, limit_s=20.0):
        """Run until there is a leader, and return its host."""
        took_s = self.scheduler.wait_for(lambda: self.leader is not None, limit_s)
        if took_s is None:
            raise AssertionError(f"no leader within {limit_s!r} s")
        self.scheduler.run_for(0.2)
        return self.leader

    def send(self, cmd, target=None):
        """Send a command to an instance or the leader; return the request id."""
        self._requests += 1
        kind, data = encode_body(cmd)
        target = target or (self.leader.id if self.leader else sorted(self.hosts)[0])
        request = CommandRequest(self._requests, kind, data)
        self.network.send("client", target, request)
        return self._requests

    def call(self, cmd, limit_s=20.0):
        """Send a command, again after each silence, and return its outcome."""
        end_s = self.scheduler.now_s + limit_s
        while self.scheduler.now_s < end_s:
            request_id = self.send(cmd)
            self.scheduler.wait_for(lambda i=request_id: i in self.outcomes, 1.0)
            outcome = self.outcomes.get(request_id)
            if outcome is not None and outcome.code != "not-leader":
                return outcome
            self.scheduler.run_for(0.1)
        raise AssertionError(f"no outcome of {cmd!r} within {limit_s!r} s")

    def _on_reply(self, sender, body):
        if isinstance(body, CommandReply):
            self.outcomes.setdefault(body.request_id, body.outcome)
