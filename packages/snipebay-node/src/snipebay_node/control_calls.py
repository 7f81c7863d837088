"""What calls of operators and backend servers to control have in common."""

import structlog

__all__ = ["is_abandoned", "logged"]

log = structlog.get_logger(__name__)


def is_abandoned(exchange, event, fields):
    """Drop a call whose caller has closed the connection; return whether it has.

    The caller may have repeated the call elsewhere, and made another one since.

    Args:
        exchange: The call.
        event: Text of the log line if it is dropped.
        fields: Fields of that line.
    """
    if not exchange.stream.has_peer_closed:
        return False
    log.warning(event, **fields)
    exchange.abort()
    return True


def logged(event, fields, respond):
    """Return a function that logs the outcome of a call, then responds with it.

    Args:
        event: Text of the log line.
        fields: Fields of that line, besides those of the outcome.
        respond: Function of the outcome.
    """

    def finish(outcome):
        log.info(
            event,
            **fields,
            outcome=outcome.code,
            detail=outcome.detail,
            revision=outcome.revision,
        )
        respond(outcome)

    return finish
