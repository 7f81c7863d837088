"""Waits until a change that was accepted is in force."""

import time

from returns.result import Failure, Success

from snipebay_cli.client import ApiError

__all__ = ["wait_for_status"]

POLL_INTERVAL_S = 0.1


def wait_for_status(client, condition, timeout_s, *, clock=time.monotonic):
    """Wait until the status of the cluster meets a condition.

    Args:
        client: :class:`OperatorClient`.
        condition: Function of a :class:`ClusterStatus`.
        timeout_s: Longest wait, in seconds.
        clock: Function returning the time in seconds.

    Returns:
        ``Success`` with the seconds that it took, or ``Failure`` with an
        :class:`ApiError` that tells what was seen last.
    """
    start_s = clock()
    while True:
        found = client.status()
        elapsed_s = round(clock() - start_s, 3)
        if isinstance(found, Success) and condition(found.unwrap()):
            return Success(elapsed_s)
        if elapsed_s >= timeout_s:
            break
        time.sleep(POLL_INTERVAL_S)
    seen = (
        f"in force everywhere: revision {found.unwrap().in_force}"
        if isinstance(found, Success)
        else found.failure().detail
    )
    detail = f"accepted, but not seen in force within {timeout_s:g} s; {seen}"
    return Failure(ApiError("timeout", detail))
