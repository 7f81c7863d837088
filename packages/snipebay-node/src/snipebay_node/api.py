"""Routes of the HTTP address: look-ups, announcements, operators, proxying."""

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
LOOKUP_BATCH = 1_000
QUERY_PATIENCE_S = 5.0
QUERY_RESEND_S = 0.5


@attrs.frozen
class _Announcement:
    """Body of an announcement."""

    service: str
    address: str
    domain: str
    slots: int = attrs.field(
        validator=[attrs.validators.ge(1), attrs.validators.le(10_000)]
    )
    leaving: bool = False


@attrs.frozen
class _Hold:
    """Body of a drain by an operator, or of its end."""

    held: bool
    change_id: str


@attrs.define
class _Query:
    """A question to control that an operator waits for."""

    exchange: object
    what: str
    first_s: float
    sent_s: float


class Api:
    """Application of the HTTP server.

    Args:
        node: The node with its cores, clock and proxy.
        token: What operators must send as bearer token, empty for nothing.
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
        """Set the body limit of a request, or refuse it."""
        if exchange.path.startswith(PREFIX):
            exchange.body_limit = self.node.proxy.body_limit(exchange)
        else:
            exchange.body_limit = API_BODY_LIMIT_BYTES

    def handle(self, exchange):
        """Answer a whole request."""
        if exchange.path.startswith(PREFIX):
            self.node.proxy.handle(exchange)
            return
        parts = tuple(exchange.path.strip("/").split("/"))
        try:
            self._route(exchange, parts)
        except (ValueError, cattrs.BaseValidationError) as exc:
            exchange.problem(422, "not-run", _explain(exc))
        self.node.run_actions()

    def tick(self, now_s):
        """Ask control again, and give up on questions that wait too long."""
        for query_id, query in list(self._queries.items()):
            if now_s - query.first_s > QUERY_PATIENCE_S:
                del self._queries[query_id]
                query.exchange.problem(
                    503, "not-run", "control has no leader that a quorum confirms", 1
                )
            elif now_s - query.sent_s > QUERY_RESEND_S:
                query.sent_s = now_s
                self._ask(query_id, query.what)

    def on_status(self, msg):
        """Take in control's answer to an operator's question."""
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
                if self._is_operator(exchange):
                    self._query(exchange, what)
            case ("POST", "v1", "settings"):
                if self._is_operator(exchange):
                    change = self._body(exchange, messages.ApplySettings)
                    self._command(exchange, change)
            case ("POST", "v1", "backends", backend_id, "hold"):
                if self._is_operator(exchange):
                    hold = self._body(exchange, _Hold)
                    backend_id = urllib.parse.unquote(backend_id)
                    self._command(
                        exchange,
                        messages.HoldBackend(backend_id, hold.held, hold.change_id),
                    )
            case ("DELETE", "v1", "entries", entry_id, incarnation):
                if self._is_operator(exchange):
                    self._command(
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
        if len(services) != 1 or not 1 <= len(clients) <= LOOKUP_BATCH:
            raise ValueError(
                f"expected one service and 1 to {LOOKUP_BATCH} client, "
                f"got {len(services)} and {len(clients)}"
            )
        core, now_s = self.node.entry, self.node.clock()
        if not core.is_ready:
            exchange.problem(503, "not-run", "no settings are in force here yet", 1)
            return
        try:
            answers = [core.lookup(services[0], client, now_s) for client in clients]
        except KeyError:
            exchange.problem(404, "not-run", f"unknown service {services[0]!r}")
            return
        self.node.metrics.lookups.inc(len(clients))
        body = msgspec.json.encode(answers[0] if len(answers) == 1 else answers)
        exchange.respond(200, body)

    def _announce(self, exchange, backend_id):
        found = self._body(exchange, _Announcement)
        core = self.node.entry
        if not core.is_ready:
            exchange.problem(503, "not-run", "no settings are in force here yet", 1)
            return
        row = BackendRow(
            backend_id,
            found.service,
            _address(found.address),
            core.ctx.settings.domains.get(found.domain, ""),
            found.domain,
            found.slots,
            found.leaving,
        )
        answer = core.announcements.announce(row, self.node.clock())
        exchange.respond(200, msgspec.json.encode(answer))

    def _withdraw(self, exchange, backend_id):
        answer = self.node.entry.announcements.withdraw(backend_id, self.node.clock())
        exchange.respond(200, msgspec.json.encode(answer))

    def _explain_service(self, exchange, service):
        ctx, now_s = self.node.entry.ctx, self.node.clock()
        if service not in ctx.settings.services:
            exchange.problem(404, "not-run", f"unknown service {service!r}")
            return
        exchange.respond_json(200, explain(ctx, service, now_s))

    # --- control ----------------------------------------------------------

    def _query(self, exchange, what):
        now_s = self.node.clock()
        query_id = next(self._query_ids)
        self._queries[query_id] = _Query(exchange, what, now_s, now_s)
        exchange.on_disconnect = lambda: self._queries.pop(query_id, None)
        self._ask(query_id, what)

    def _ask(self, query_id, what):
        target = self.node.entry.commands.target()
        self.node.send(target, messages.StatusRequest(query_id, what))

    def _command(self, exchange, cmd):
        def answer(outcome, now_s):
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

        def give_up(now_s):
            exchange.problem(
                503, "unknown", "control gave no answer; send the same change again"
            )

        commands = self.node.entry.commands
        commands.now_s = self.node.clock()
        commands.send(cmd, answer, give_up)

    def _is_operator(self, exchange):
        """Return True for an operator, else answer and return False."""
        sent = exchange.header("authorization").removeprefix("Bearer ")
        if not self._token or hmac.compare_digest(sent.encode(), self._token.encode()):
            return True
        exchange.problem(401, "not-run", "the operator token is missing or wrong")
        return False

    def _body(self, exchange, cls):
        """Return the JSON body of a request as an attrs object."""
        try:
            raw = json.loads(bytes(exchange.body))
        except ValueError as exc:
            raise ValueError(f"the body is not JSON: {exc}") from exc
        for field in attrs.fields(cls):
            value = raw.get(field.name) if isinstance(raw, dict) else None
            if value is not None and type(value) is not field.type:
                raise ValueError(
                    f"{field.name}: expected {field.type.__name__}, got {value!r}"
                )
        return self._converter.structure(raw, cls)


def explain(ctx, service, now_s):
    """Return why requests of a service go where they go from this instance."""
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


def _address(text):
    """Return an address after a check that it is an IP number and port."""
    if not is_address(text):
        raise ValueError(f"address: expected an IP number and port, got {text!r}")
    return text


def _explain(exc):
    """Return all that is wrong with a body in one line."""
    if isinstance(exc, cattrs.BaseValidationError):
        return "; ".join(cattrs.transform_error(exc, format_exception=_describe))
    return str(exc)


def _describe(exc, kind):
    """Return one finding of a body; our validators name field and value."""
    if type(exc) is ValueError:
        return exc.args[0]
    return cattrs.v.format_exception(exc, kind)
