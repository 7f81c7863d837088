"""Takes orders of operators about failure domains, and logs their outcomes."""

from snipebay_node.control_calls import is_abandoned, logged

__all__ = ["OrderIntake"]


class OrderIntake:
    """Passes orders on to the leader, with what tells how old they are.

    Args:
        control_client: Client that sends commands to the control instances.
    """

    def __init__(self, control_client):
        self._control_client = control_client

    def take(self, exchange, domain, evacuated, respond):
        """Start or end the evacuation of a failure domain for the caller.

        Args:
            exchange: The call.
            domain: The failure domain.
            evacuated: True to start, False to end.
            respond: Function of the outcome, which responds to the caller.
        """
        base_index = exchange.log_index
        fields = {
            "domain": domain,
            "evacuated": evacuated,
            "caller": exchange.stream.peer,
            "base": base_index,
        }
        if is_abandoned(exchange, "order of a caller that left ignored", fields):
            return
        # The age of an order is known from its connection, so each has its own.
        exchange.closes_connection = True
        respond = logged("order answered", fields, respond)
        self._control_client.evacuate(domain, evacuated, respond, base_index)
