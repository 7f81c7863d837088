"""Decides which requests of one connection may run side by side."""

__all__ = ["dispatchable"]


def dispatchable(pipeline):
    """Yield the requests of a connection that may be passed to the application.

    Safe requests run alongside earlier safe ones; any other request waits until the
    responses to all earlier requests have ended. So does one behind a response that is
    being streamed: if that is broken off, the connection closes.

    Args:
        pipeline: Exchanges whose responses have not ended, in the order of arrival.
    """
    is_streaming = False
    for i, exchange in enumerate(list(pipeline)):
        is_held_back = is_streaming and not exchange.is_handled
        if not exchange.is_complete or (i and not exchange.is_safe) or is_held_back:
            return
        is_streaming |= exchange.is_started and not exchange.is_done
        if not exchange.is_handled and not exchange.is_done:
            yield exchange
        if not exchange.is_safe:
            return
