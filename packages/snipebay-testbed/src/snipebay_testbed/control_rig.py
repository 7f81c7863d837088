"""Harness that runs control instances on fakes and injects faults."""

import attrs
import numpy as np
from snipebay_control.core import ControlConfig, ControlCore
from snipebay_model.codec import encode_body
from snipebay_model.messages import CommandReply, CommandRequest

from snipebay_testbed.fakes import FakeDisk, FakeNetwork, Scheduler

__all__ = ["ControlHost", "ControlRig"]

TICK_S = 0.05
# Delay before the control role of an instance is started again on its data folder.
STORAGE_RETRY_DELAY_S = 0.5


class ControlHost:
    """One control instance: a core, its disk and the state of its process.

    Args:
        rig: Harness that it belongs to.
        instance_id: Id of the instance.
        incarnation: Incarnation id, which changes when the instance loses its disk.

    Attributes:
        core: Core of the running process, or None while it is stopped.
        frozen: True while the process is suspended.
        is_disk_full: True while saves fail; the control role then stops and is started
            again after a delay.
        crash_at_sync: Step at which the next save crashes the process:
            ``before-sync``, ``after-sync``, or empty for none.
    """

    def __init__(self, rig, instance_id, incarnation):
        self.rig = rig
        self.id = instance_id
        self.disk = FakeDisk()
        self.incarnation = incarnation
        self.core = None
        self.frozen = False
        self.is_disk_full = False
        self.crash_at_sync = ""
        self._deferred = []
        self._start_count = 0

    @property
    def node(self):
        """Node id: instance id and incarnation."""
        return f"{self.id}#{self.incarnation}"

    @property
    def is_running(self):
        return self.core is not None

    def start(self):
        """Start the process from the state on its disk."""
        cfg = attrs.evolve(self.rig.cfg, node=self.node)
        rng = np.random.default_rng(self.rig.rng.integers(1 << 32))
        self.core = ControlCore(cfg, self.disk.load(), rng, self.rig.scheduler.now_s)
        self._start_count += 1
        self.rig.network.receivers[self.node] = self.receive
        self.rig.network.receivers[self.id] = self.receive
        self._tick(self._start_count)

    def kill(self):
        """Stop the process at once; state that is not synced is lost."""
        self.core = None
        self.rig.network.receivers.pop(self.node, None)
        self.rig.network.receivers.pop(self.id, None)

    def lose_disk(self):
        """Kill the process and erase its disk, so that it gets a new incarnation."""
        self.kill()
        self.disk = FakeDisk()
        self.incarnation += "+"

    def freeze(self):
        """Suspend the process; messages to it are held back."""
        self.frozen = True

    def thaw(self):
        """Resume the process and deliver the messages held back."""
        self.frozen = False
        deferred, self._deferred = self._deferred, []
        for sender, body in deferred:
            self.receive(sender, body)

    def receive(self, sender, body):
        """Pass a message to the core; a stopped process drops it."""
        if self.frozen:
            self._deferred.append((sender, body))
        elif self.is_running:
            self.core.receive(sender, body, self.rig.scheduler.now_s)
            self._process_output()

    def _tick(self, start_number):
        """Tick the core until the process stops or starts again."""
        if start_number != self._start_count or not self.is_running:
            return
        if not self.frozen:
            self.core.tick(self.rig.scheduler.now_s)
            self._process_output()
        self.rig.scheduler.after(TICK_S, self._tick, start_number)

    def _process_output(self):
        """Save and send the core's output, or crash at the step ``crash_at_sync``."""
        while not (ready := self.core.pop_ready()).is_empty:
            if self._crashes_at("before-sync"):
                return
            if self.is_disk_full and ready.needs_sync:
                self.kill()
                self.rig.scheduler.after(STORAGE_RETRY_DELAY_S, self.start)
                return
            self.disk.save(ready)
            if self._crashes_at("after-sync"):
                return
            self.core.complete_ready(ready)
        for target, body in self.core.pop_messages():
            if target != self.node:
                self.rig.network.send(self.node, target, body)

    def _crashes_at(self, step):
        """Kill the process and return True if it is to crash at this step."""
        if self.crash_at_sync != step:
            return False
        self.crash_at_sync = ""
        self.kill()
        return True


class ControlRig:
    """A group of control instances and a client that sends commands.

    Args:
        seed: Random seed of the run.
        size: Number of control instances.
        cfg: Configuration to use in place of the default; its node, peers and
            membership settings are replaced.
        absent: Ids of instances that are not started yet.
        seeds: Ids of the initial voters, through which other instances join; empty
            when every instance is configured with all peers.
        **network: Further arguments of the fake network.

    Attributes:
        hosts: Control instances by id.
        outcomes: Outcomes of commands, by request id.
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
        self._request_count = 0
        self.network.receivers["client"] = self._on_reply
        for host in self.hosts.values():
            if host.id not in absent:
                host.start()

    @property
    def leader(self):
        """The host that holds the leader's lease and is not suspended, or None."""
        leaders = [
            host
            for host in self.hosts.values()
            if host.is_running
            and not host.frozen
            and host.core.raft.holds_lease(self.scheduler.now_s)
        ]
        return leaders[0] if leaders else None

    def elect(self, limit_s=20.0):
        """Run until a leader is elected, and return its host."""
        took_s = self.scheduler.wait_for(lambda: self.leader is not None, limit_s)
        if took_s is None:
            raise AssertionError(f"no leader elected within {limit_s!r} s")
        self.scheduler.run_for(0.2)
        return self.leader

    def restart_all(self):
        """Kill all instances, then start them from what is on their disks."""
        for host in self.hosts.values():
            host.kill()
        for host in self.hosts.values():
            host.start()

    def send(self, cmd, target=None, base_index=-1):
        """Send a command and return its request id.

        Args:
            cmd: Command to send.
            target: Id of the receiving instance; by default the leader, or the
                first instance when there is none.
            base_index: Base of an order, see :class:`CommandRequest`.
        """
        self._request_count += 1
        kind, data = encode_body(cmd)
        target = target or (self.leader.id if self.leader else sorted(self.hosts)[0])
        request = CommandRequest(self._request_count, kind, data, base_index)
        self.network.send("client", target, request)
        return self._request_count

    def call(self, cmd, limit_s=20.0, base_index=-1):
        """Send a command until it has an outcome, and return the outcome.

        The command is sent again after 1 s without a reply and after a
        ``not-leader`` reply.
        """
        end_s = self.scheduler.now_s + limit_s
        while self.scheduler.now_s < end_s:
            request_id = self.send(cmd, base_index=base_index)
            self.scheduler.wait_for(lambda i=request_id: i in self.outcomes, 1.0)
            outcome = self.outcomes.get(request_id)
            if outcome is not None and outcome.code != "not-leader":
                return outcome
            self.scheduler.run_for(0.1)
        raise AssertionError(f"no outcome for {cmd!r} within {limit_s!r} s")

    def _on_reply(self, sender, body):
        if isinstance(body, CommandReply):
            self.outcomes.setdefault(body.request_id, body.outcome)
