"""HTTP client for the operators' API that tries the instances in order."""

import http.client
import json

import attrs
import msgspec
from returns.result import Failure, Success
from snipebay_model.status import ChangeStatus, ClusterStatus

__all__ = ["ApiError", "OperatorClient"]

REQUEST_TIMEOUT_S = 8.0


@attrs.frozen
class ApiError:
    """An error response, or the failure to reach any instance.

    Attributes:
        code: ``conflict``, ``invalid``, ``missing``, ``refused`` or
            ``unreachable``.
        detail: Explanation for people.
    """

    code: str
    detail: str


@attrs.frozen
class OperatorClient:
    """Client for the operators' API.

    Attributes:
        instances: Addresses ``host:port`` of entry instances.
        token: Operator token, or empty.
    """

    instances: tuple
    token: str = ""

    def status(self):
        """Return ``Success`` with the cluster's status, or ``Failure``."""
        return self._get("/v1/status", ClusterStatus)

    def settings(self):
        """Return ``Success`` with a list of the newest change, or ``Failure``.

        The list is empty before the first change.
        """
        return self._get("/v1/settings", list[ChangeStatus])

    def current(self):
        """Return ``Success`` with the newest change, or ``Failure``."""
        return self.settings().bind(
            lambda changes: (
                Success(changes[0])
                if changes
                else Failure(ApiError("missing", "nothing is set yet"))
            )
        )

    def history(self):
        """Return ``Success`` with the accepted changes, or ``Failure``."""
        return self._get("/v1/history", list[ChangeStatus])

    def explain(self, service):
        """Return ``Success`` with one instance's routing state, or ``Failure``."""
        return self._request("GET", f"/v1/explain/{service}").map(json.loads)

    def apply(self, change_id, base_revision, author, text, note):
        """Apply settings; return ``Success`` with the outcome, or ``Failure``."""
        document = {
            "change_id": change_id,
            "base_revision": base_revision,
            "author": author,
            "text": text,
            "note": note,
        }
        return self._request("POST", "/v1/settings", document).map(json.loads)

    def set_held(self, backend_id, held, change_id):
        """Start or end the draining of a backend server."""
        document = {"held": held, "change_id": change_id}
        path = f"/v1/backends/{backend_id}/hold"
        return self._request("POST", path, document).map(json.loads)

    def remove_entry(self, entry_id, incarnation):
        """Remove an entry instance that has stopped for good."""
        path = f"/v1/entries/{entry_id}/{incarnation}"
        return self._request("DELETE", path).map(json.loads)

    def _get(self, path, result_type):
        return self._request("GET", path).map(
            lambda body: msgspec.json.decode(body, type=result_type)
        )

    def _request(self, method, path, document=None):
        """Try the instances in order; return the body of the first usable response."""
        body = json.dumps(document).encode() if document is not None else None
        headers = {"Authorization": f"Bearer {self.token}"} if self.token else {}
        failures = []
        for address in self.instances:
            try:
                status, response_body = _send_request(
                    address, method, path, body, headers
                )
            except OSError as exc:
                failures.append(f"{address}: {exc}")
                continue
            if status in (502, 503, 504):
                failures.append(f"{address}: {_problem_detail(response_body)}")
                continue
            if status == 200:
                return Success(response_body)
            codes = {404: "missing", 409: "conflict", 422: "invalid"}
            return Failure(
                ApiError(codes.get(status, "refused"), _problem_detail(response_body))
            )
        return Failure(ApiError("unreachable", "; ".join(failures)))


def _send_request(address, method, path, body, headers):
    """Send a request to one instance; return status and body of the response."""
    connection = http.client.HTTPConnection(address, timeout=REQUEST_TIMEOUT_S)
    try:
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        return response.status, response.read()
    except http.client.HTTPException as exc:
        raise OSError(f"invalid HTTP response: {exc!r}") from exc
    finally:
        connection.close()


def _problem_detail(body):
    """Return the detail of a problem document, or the first bytes of another body."""
    try:
        return json.loads(body)["detail"]
    except (ValueError, KeyError, TypeError):
        return repr(body[:200])
