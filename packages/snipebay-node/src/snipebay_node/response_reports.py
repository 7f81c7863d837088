"""Passes on to the core what backend servers say in the headers of their responses."""

from snipebay_node import response_headers

__all__ = ["ResponseReports"]


class ResponseReports:
    """Reads the heads of responses to routed requests.

    Args:
        forward: :class:`ForwardSystem` of the core.
        header_names: Header names of callers and backend servers.
        clock: Function returning the time in seconds.
    """

    def __init__(self, forward, header_names, clock):
        self._forward = forward
        self._names = header_names
        self._clock = clock

    def report(self, attempt_id, headers, *, is_hop):
        """Report all that a head says.

        Args:
            attempt_id: The attempt that got the response.
            headers: Pairs of name and value, as bytes.
            is_hop: True when the attempt goes through another entry instance.

        Returns:
            Row of the backend server if it says that it is leaving, else None. None
            also for one behind an instance, which has reported it.
        """
        self.report_load(attempt_id, headers)
        self._report_rate_limit(attempt_id, headers)
        if is_hop:
            self._report_leaving_behind_hop(attempt_id, headers)
        elif response_headers.is_leaving(self._values(headers, self._names.leaving)):
            return self._forward.on_leaving(attempt_id)
        return None

    def report_load(self, attempt_id, headers):
        """Report the load and pace that a backend server names."""
        value = dict(headers).get(self._names.load, b"")
        load = response_headers.parse_load(value)
        if load is not None:
            pace = response_headers.parse_pace(value)
            self._forward.on_load_report(attempt_id, *load, self._clock(), pace)

    def _report_rate_limit(self, attempt_id, headers):
        """Report the rate limit that a backend server named, or did not."""
        values = self._values(headers, self._names.rate_limit)
        try:
            per_s = response_headers.parse_rate_limit(values)
        except ValueError as exc:
            # The limit named before stays in force.
            self._forward.on_invalid_rate_limit(attempt_id, str(exc))
            return
        self._forward.on_rate_limit(attempt_id, per_s, self._clock())

    def _report_leaving_behind_hop(self, attempt_id, headers):
        for value in self._values(headers, self._names.leaving_backend):
            if found := response_headers.parse_backend(value):
                self._forward.on_leaving_behind_hop(attempt_id, *found)

    @staticmethod
    def _values(headers, wanted):
        return [value for name, value in headers if name == wanted]
