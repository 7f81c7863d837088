"""Events and measurements of a control core for logs and metrics."""

import attrs
from snipebay_model.messages import Evacuate

__all__ = ["Telemetry"]


@attrs.define
class Telemetry:
    """Events and measurements since the last call of :meth:`pop_all`.

    Attributes:
        commit_times: Seconds from arrival to commit of each command.
        changes: Pairs of event and id of the instance or backend server.
        orders: Pairs of event and fields, one for each step of an order of an
            operator.
        ignored_announcements: Announcements without effect since the start.
    """

    commit_times: list = attrs.Factory(list)
    changes: list = attrs.Factory(list)
    orders: list = attrs.Factory(list)
    ignored_announcements: int = 0

    def pop_all(self):
        """Return the commit times and changes, and clear them."""
        popped = self.commit_times, self.changes
        self.commit_times, self.changes = [], []
        return popped

    def record_ignored(self, row, reason):
        """Record an announcement of a backend server that had no effect."""
        self.ignored_announcements += 1
        subject = f"{row.backend_id} at {row.address}: {reason}"
        self.changes.append(("announcement ignored", subject))

    def record_order(self, event, cmd, index, **fields):
        """Record a step of a command if it is an order of an operator.

        Args:
            event: What happened to it.
            cmd: The command.
            index: Its log index; for a refused one the last index of the log.
            **fields: Further fields of the log line.
        """
        if isinstance(cmd, Evacuate):
            order = {"domain": cmd.domain, "evacuated": cmd.evacuated, "index": index}
            self.orders.append((event, {**order, **fields}))

    def pop_orders(self):
        """Return the events about orders, and clear them."""
        orders, self.orders = self.orders, []
        return orders
