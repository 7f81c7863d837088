"""Passes on to the core what backend servers say in the headers of their responses."""

from snipebay_node import response_headers
from snipebay_node.upstream import MISDIRECTED_REQUEST

__all__ = ["ResponseReports", "RoutedReports"]


class ResponseReports:
    """Reads the heads of responses.

    Args:
        system: System of the core that decides on requests.
        header_names: Header names of callers and backend servers.
        clock: Function returning the time in seconds.
    """

    def __init__(self, system, header_names, clock):
        self._system = system
        self._names = header_names
        self._clock = clock

    def report(self, attempt_id, status, headers):
        """Report what a head says of the backend server that it comes from.

        Args:
            attempt_id: The attempt that got the response.
            status: HTTP status.
            headers: Pairs of name and value, as bytes.

        Returns:
            What the core returns of a backend server that says that it is leaving,
            None of any other.
        """
        # Another backend server at the same address wrote it.
        if status == MISDIRECTED_REQUEST:
            return None
        self._report_rate_limit(attempt_id, headers)
        return self._report_leaving(attempt_id, headers)

    def _report_rate_limit(self, attempt_id, headers):
        """Report the rate limit that a backend server named, or did not."""
        values = self._values(headers, self._names.rate_limit)
        try:
            per_s = response_headers.parse_rate_limit(values)
        except ValueError as exc:
            # The limit named before stays in force.
            self._system.on_invalid_rate_limit(attempt_id, str(exc))
            return
        self._system.on_rate_limit(attempt_id, per_s, self._clock())

    def _report_leaving(self, attempt_id, headers):
        if response_headers.is_leaving(self._values(headers, self._names.leaving)):
            return self._system.on_leaving(attempt_id)
        return None

    @staticmethod
    def _values(headers, wanted):
        return [value for name, value in headers if name == wanted]


class RoutedReports(ResponseReports):
    """Reads the heads of responses that may have come through another instance."""

    def report(self, attempt_id, status, headers, *, is_hop):
        """Do the same, and report the load that a backend server names.

        Args:
            attempt_id: The attempt that got the response.
            status: HTTP status.
            headers: Pairs of name and value, as bytes.
            is_hop: True when the attempt goes through another entry instance.

        Returns:
            Row of the backend server if it says that it is leaving, else None. None
            also for one behind an instance, which has reported it.
        """
        if status == MISDIRECTED_REQUEST:
            return None
        self._report_load(attempt_id, headers)
        if is_hop:
            self._report_rate_limit(attempt_id, headers)
            self._report_leaving_behind_hop(attempt_id, headers)
            return None
        return super().report(attempt_id, status, headers)

    def _report_load(self, attempt_id, headers):
        """Report the load and pace that a backend server names."""
        value = dict(headers).get(self._names.load, b"")
        load = response_headers.parse_load(value)
        if load is not None:
            pace = response_headers.parse_pace(value)
            self._system.on_load_report(attempt_id, *load, self._clock(), pace)

    def _report_leaving_behind_hop(self, attempt_id, headers):
        for value in self._values(headers, self._names.leaving_backend):
            if found := response_headers.parse_backend(value):
                self._system.on_leaving_behind_hop(attempt_id, *found)
