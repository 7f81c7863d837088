"""HTTP API of an instance: lookups, announcements, operator calls, proxying."""

import hmac
import itertools
import json
import urllib.parse

import attrs
import cattrs
import msgspec
from snipebay_model import messages
from snipebay_model.schema import is_address
from snipebay_model.view import BackendRow

from snipebay_node.proxy import PREFIX

__all__ = ["Api"]

API_BODY_LIMIT_BYTES = 8 * 1024 * 1024
MAX_LOOKUP_CLIENTS = 1_000
QUERY_TIMEOUT_S = 5.0
QUERY_RETRY_INTERVAL_S = 0.5


@attrs.frozen
class _Announcement:
    """Body of an announcement by a backend server.

    Attributes:
        service: Service that it runs.
        address: IP address and port.
        domain: Failure domain of the backend server.
        slots: Number of requests that it runs at a time.
        leaving: True if it shuts down and takes no further requests.
    """

    service: str
    address: str
    domain: str
    slots: int = attrs.field(
        validator=[attrs.validators.ge(1), attrs.validators.le(10_000)]
    )
    leaving: bool = False


@attrs.frozen
class _Hold:
    """Body of an operator's call to drain a backend server or to end the drain.

    Attributes:
        held: True to start the drain, False to end it.
        change_id: Id of the change, the same when it is retried.
    """

    held: bool
    change_id: str


@attrs.define
class _Query:
    """A pending query of an operator to the control group.

    Attributes:
        exchange: The exchange to respond to.
        what: What is read: ``status``, ``settings`` or ``history``.
        started_s: Time at which the query arrived.
        sent_s: Time at which it was last sent to a control instance.
    """

    exchange: object
    what: str
    started_s: float
    sent_s: float


class Api:
    """HTTP application for the address that callers use.

    Args:
        node: The node with its cores, clock and proxy.
        token: Bearer token required of operators; empty disables the check.
    """

    def __init__(self, node, token):
        self.node = node
        self._token = token
        self._queries = {}
        self._query_ids = itertools.count(1)
        self._converter = cattrs.Converter(
            forbid_extra_keys=True, detailed_validation=True
        )

    # --- HTTP server ------------------------------------------------------

    def check_head(self, exchange):
        """Set the body size limit of a request."""
        if exchange.path.startswith(PREFIX):
            exchange.body_limit = self.node.proxy.body_limit(exchange)
        else:
            exchange.body_limit = API_BODY_LIMIT_BYTES

    def handle(self, exchange):
        """Handle a complete request."""
        if exchange.path.startswith(PREFIX):
            self.node.proxy.handle(exchange)
            return
        parts = tuple(exchange.path.strip("/").split("/"))
        try:
            self._route(exchange, parts)
        except (ValueError, cattrs.BaseValidationError) as exc:
            exchange.problem(422, "not-run", _format_errors(exc))
        self.node.run_actions()

    def tick(self, now_s):
        """Retry queries without a reply, and time out old ones."""
        for query_id, query in list(self._queries.items()):
            if now_s - query.started_s > QUERY_TIMEOUT_S:
                del self._queries[query_id]
                query.exchange.problem(
                    503, "not-run", "control has no leader that a quorum confirms", 1
                )
            elif now_s - query.sent_s > QUERY_RETRY_INTERVAL_S:
                query.sent_s = now_s
                self._send_query(query_id, query.what)

    def on_status(self, msg):
        """Handle the reply of a control instance to an operator's query."""
        if msg.leader:
            self.node.entry.commands.leader = msg.leader
        query = self._queries.get(msg.request_id)
        if query is None or msg.outcome.code == "not-leader":
            return
        del self._queries[msg.request_id]
        if msg.outcome.code != "ok":
            query.exchange.problem(422, "not-run", msg.outcome.detail)
        else:
            query.exchange.respond(200, msg.data)

    # --- routes -----------------------------------------------------------

    def _route(self, exchange, parts):
        match (exchange.method, *parts):
            case ("GET", "v1", "lookup"):
                self._lookup(exchange)
            case ("PUT", "v1", "backends", backend_id):
                self._announce(exchange, urllib.parse.unquote(backend_id))
            case ("DELETE", "v1", "backends", backend_id):
                self._withdraw(exchange, urllib.parse.unquote(backend_id))
            case ("GET", "v1", ("status" | "settings" | "history") as what):
                if self._authorize_operator(exchange):
                    self._start_query(exchange, what)
            case ("POST", "v1", "settings"):
                if self._authorize_operator(exchange):
                    change = self._parse_body(exchange, messages.ApplySettings)
                    self._send_command(exchange, change)
            case ("POST", "v1", "backends", backend_id, "hold"):
                if self._authorize_operator(exchange):
                    hold = self._parse_body(exchange, _Hold)
                    backend_id = urllib.parse.unquote(backend_id)
                    self._send_command(
                        exchange,
                        messages.HoldBackend(backend_id, hold.held, hold.change_id),
                    )
            case ("DELETE", "v1", "entries", entry_id, incarnation):
                if self._authorize_operator(exchange):
                    self._send_command(
                        exchange,
                        messages.RemoveEntry(entry_id, incarnation, "by an operator"),
                    )
            case ("GET", "v1", "explain", service):
                self._explain_service(exchange, service)
            case _:
                exchange.problem(404, "not-run", f"no {exchange.path!r} here")

    def _lookup(self, exchange):
        query = urllib.parse.parse_qs(exchange.query)
        services, clients = query.get("service", []), query.get("client", [])
        if len(services) != 1 or not 1 <= len(clients) <= MAX_LOOKUP_CLIENTS:
            raise ValueError(
                f"expected one service and 1 to {MAX_LOOKUP_CLIENTS} client, "
                f"got {len(services)} and {len(clients)}"
            )
        core, now_s = self.node.entry, self.node.clock()
        if not core.is_ready:
            exchange.problem(503, "not-run", "no settings are in force here yet", 1)
            return
        try:
            results = [core.lookup(services[0], client, now_s) for client in clients]
        except KeyError:
            exchange.problem(404, "not-run", f"unknown service {services[0]!r}")
            return
        self.node.metrics.lookups.inc(len(clients))
        body = msgspec.json.encode(results[0] if len(results) == 1 else results)
        exchange.respond(200, body)

    def _announce(self, exchange, backend_id):
        announcement = self._parse_body(exchange, _Announcement)
        core = self.node.entry
        if not core.is_ready:
            exchange.problem(503, "not-run", "no settings are in force here yet", 1)
            return
        row = BackendRow(
            backend_id,
            announcement.service,
            _checked_address(announcement.address),
            core.ctx.settings.domains.get(announcement.domain, ""),
            announcement.domain,
            announcement.slots,
            announcement.leaving,
        )
        result = core.announcements.announce(row, self.node.clock())
        exchange.respond(200, msgspec.json.encode(result))

    def _withdraw(self, exchange, backend_id):
        result = self.node.entry.announcements.withdraw(backend_id, self.node.clock())
        exchange.respond(200, msgspec.json.encode(result))

    def _explain_service(self, exchange, service):
        ctx, now_s = self.node.entry.ctx, self.node.clock()
        if service not in ctx.settings.services:
            exchange.problem(404, "not-run", f"unknown service {service!r}")
            return
        exchange.respond_json(200, explain(ctx, service, now_s))

    # --- control ----------------------------------------------------------

    def _start_query(self, exchange, what):
        now_s = self.node.clock()
        query_id = next(self._query_ids)
        self._queries[query_id] = _Query(exchange, what, now_s, now_s)
        exchange.on_disconnect = lambda: self._queries.pop(query_id, None)
        self._send_query(query_id, what)

    def _send_query(self, query_id, what):
        target = self.node.entry.commands.target()
        self.node.send(target, messages.StatusRequest(query_id, what))

    def _send_command(self, exchange, cmd):
        def respond(outcome, now_s):
            document = {
                "code": outcome.code,
                "revision": outcome.revision,
                "detail": outcome.detail,
            }
            status = {"ok": 200, "conflict": 409, "missing": 404}.get(outcome.code, 422)
            if status == 200:
                exchange.respond_json(200, document)
            else:
                del document["detail"]
                exchange.problem(status, "not-run", outcome.detail, **document)

        def on_timeout(now_s):
            exchange.problem(
                503, "unknown", "control gave no answer; send the same change again"
            )

        commands = self.node.entry.commands
        commands.now_s = self.node.clock()
        commands.send(cmd, respond, on_timeout)

    def _authorize_operator(self, exchange):
        """Return True for a valid operator token, else respond 401 and return False."""
        sent = exchange.header("authorization").removeprefix("Bearer ")
        if not self._token or hmac.compare_digest(sent.encode(), self._token.encode()):
            return True
        exchange.problem(401, "not-run", "the operator token is missing or wrong")
        return False

    def _parse_body(self, exchange, cls):
        """Return the JSON body of a request as an instance of an attrs class.

        Raises:
            ValueError: If the body is not JSON or a field has the wrong type.
            cattrs.BaseValidationError: If the body is invalid in another way.
        """
        try:
            document = json.loads(bytes(exchange.body))
        except ValueError as exc:
            raise ValueError(f"the body is not JSON: {exc}") from exc
        for field in attrs.fields(cls):
            value = document.get(field.name) if isinstance(document, dict) else None
            if value is not None and type(value) is not field.type:
                raise ValueError(
                    f"{field.name}: expected {field.type.__name__}, got {value!r}"
                )
        return self._converter.structure(document, cls)


def explain(ctx, service, now_s):
    """Return the state behind this instance's routing of a service, for JSON."""
    meter = ctx.meter(service)
    rows = [row for row in ctx.view.backends if row.service == service]
    return {
        "instance": ctx.entry_id,
        "revision": ctx.view.revision,
        "may_serve": ctx.may_serve(now_s),
        "has_lease": ctx.lease_state.has_lease(now_s),
        "waiting": ctx.waiting_count(service),
        "requests": meter.total,
        "shifted": meter.shifted,
        "shift_cap": meter.cap,
        "shares": ctx.shares(service, now_s),
        "backends": [
            {
                "backend_id": row.backend_id,
                "region": row.region,
                "domain": row.domain,
                "open": ctx.is_open(row.backend_id),
                "ejected": not ctx.health.is_usable(row.backend_id, now_s),
                "cost_s": round(ctx.health.score(row.backend_id, now_s), 4),
                "slots_here": {
                    holding.slot.number: holding.state
                    for holding in ctx.slots.holdings.values()
                    if holding.slot.backend_id == row.backend_id
                },
            }
            for row in rows
        ],
    }


def _checked_address(text):
    """Return an address unchanged.

    Raises:
        ValueError: If it is not an IP address and port.
    """
    if not is_address(text):
        raise ValueError(f"address: expected an IP number and port, got {text!r}")
    return text


def _format_errors(exc):
    """Return all errors in a body as one line."""
    if isinstance(exc, cattrs.BaseValidationError):
        return "; ".join(cattrs.transform_error(exc, format_exception=_format_error))
    return str(exc)


def _format_error(exc, kind):
    """Return one error as text; a plain ValueError has a complete message."""
    if type(exc) is ValueError:
        return exc.args[0]
    return cattrs.v.format_exception(exc, kind)
