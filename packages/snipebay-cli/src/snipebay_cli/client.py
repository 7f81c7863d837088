"""HTTP client of the operators' API, which tries one instance after the other."""

import http.client
import json

import attrs
import msgspec
from returns.result import Failure, Success
from snipebay_model.status import ChangeStatus, ClusterStatus

__all__ = ["ApiError", "OperatorClient"]

TIMEOUT_S = 8.0


@attrs.frozen
class ApiError:
    """A refusal, or that no instance answered.

    Attributes:
        code: ``conflict``, ``invalid``, ``missing``, ``refused`` or
            ``unreachable``.
        detail: What a person should read.
    """

    code: str
    detail: str


@attrs.frozen
class OperatorClient:
    """Talks to the operators' API.

    Attributes:
        instances: Addresses ``host:port`` of entry instances.
        token: Operator token, or empty.
    """

    instances: tuple
    token: str = ""

    def status(self):
        """Return ``Success`` of the cluster's status or ``Failure``."""
        return self._get("/v1/status", ClusterStatus)

    def settings(self):
        """Return ``Success`` of the newest change in a list or ``Failure``."""
        return self._get("/v1/settings", list[ChangeStatus])

    def current(self):
        """Return ``Success`` of the change in force or ``Failure``."""
        return self.settings().bind(
            lambda changes: (
                Success(changes[0])
                if changes
                else Failure(ApiError("missing", "nothing is set yet"))
            )
        )

    def history(self):
        """Return ``Success`` of the accepted changes or ``Failure``."""
        return self._get("/v1/history", list[ChangeStatus])

    def explain(self, service):
        """Return ``Success`` of one instance's routing state or ``Failure``."""
        return self._call("GET", f"/v1/explain/{service}").map(json.loads)

    def apply(self, change_id, base_revision, author, text, note):
        """Return ``Success`` of the outcome or ``Failure``."""
        document = {
            "change_id": change_id,
            "base_revision": base_revision,
            "author": author,
            "text": text,
            "note": note,
        }
        return self._call("POST", "/v1/settings", document).map(json.loads)

    def hold(self, backend_id, held, change_id):
        """Drain a backend server, or end that."""
        document = {"held": held, "change_id": change_id}
        path = f"/v1/backends/{backend_id}/hold"
        return self._call("POST", path, document).map(json.loads)

    def forget(self, entry_id, incarnation):
        """Remove an entry instance that will not come back."""
        path = f"/v1/entries/{entry_id}/{incarnation}"
        return self._call("DELETE", path).map(json.loads)

    def _get(self, path, cls):
        return self._call("GET", path).map(
            lambda body: msgspec.json.decode(body, type=cls)
        )

    def _call(self, method, path, document=None):
        """Return the body of the first answer that an instance gives."""
        body = json.dumps(document).encode() if document is not None else None
        headers = {"Authorization": f"Bearer {self.token}"} if self.token else {}
        failures = []
        for address in self.instances:
            try:
                status, answer = _request(address, method, path, body, headers)
            except OSError as exc:
                failures.append(f"{address}: {exc}")
                continue
            if status in (502, 503, 504):
                failures.append(f"{address}: {_detail(answer)}")
                continue
            if status == 200:
                return Success(answer)
            codes = {404: "missing", 409: "conflict", 422: "invalid"}
            return Failure(ApiError(codes.get(status, "refused"), _detail(answer)))
        return Failure(ApiError("unreachable", "; ".join(failures)))


def _request(address, method, path, body, headers):
    """Return status and body of one call."""
    connection = http.client.HTTPConnection(address, timeout=TIMEOUT_S)
    try:
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        return response.status, response.read()
    except http.client.HTTPException as exc:
        raise OSError(f"bad answer: {exc!r}") from exc
    finally:
        connection.close()


def _detail(answer):
    """Return the detail of a problem document, or the answer's first bytes."""
    try:
        return json.loads(answer)["detail"]
    except (ValueError, KeyError, TypeError):
        return repr(answer[:200])
