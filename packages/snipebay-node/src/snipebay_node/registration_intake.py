"""Takes announcements and withdrawals of backend servers."""

from snipebay_node.control_calls import is_abandoned, logged

__all__ = ["RegistrationIntake"]


class RegistrationIntake:
    """Passes on announcements and withdrawals, and which incarnation sent them.

    Args:
        control_client: Client that sends commands to the control instances.
    """

    def __init__(self, control_client):
        self._control_client = control_client

    def announce(self, exchange, row, respond):
        """Add or update a backend server, or renew its lease.

        Args:
            exchange: The call.
            row: The announced row.
            respond: Function of the outcome, which responds to the caller.
        """
        exchange.connection.announced = row.backend_id, row.born_ms
        self._control_client.announce(
            row, _closing_if_outdated(exchange, respond), exchange.log_index
        )

    def withdraw(self, exchange, backend_id, respond):
        """Remove the incarnation of a backend server that sent the call.

        Args:
            exchange: The call.
            backend_id: Id of the backend server.
            respond: Function of the outcome, which responds to the caller.
        """
        announced_id, born_ms = exchange.connection.announced
        fields = {
            "backend": backend_id,
            "caller": exchange.stream.peer,
            "base": exchange.log_index,
            "born": born_ms if announced_id == backend_id else 0,
        }
        if is_abandoned(exchange, "withdrawal of a caller that left ignored", fields):
            return
        respond = logged("withdrawal answered", fields, respond)
        self._control_client.withdraw(
            backend_id,
            _closing_if_outdated(exchange, respond),
            fields["base"],
            fields["born"],
        )


def _closing_if_outdated(exchange, respond):
    """Return a function of the outcome that also closes a connection that is too old.

    The age of a call is known from its connection, so a repeated one needs a new one.
    """

    def finish(outcome):
        if outcome.code == "outdated":
            exchange.closes_connection = True
        respond(outcome)

    return finish
