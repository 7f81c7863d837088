"""JSON-line logs and spans."""

import logging
import sys

import structlog
from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import (
    SimpleSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

__all__ = ["Tracing", "configure_logs", "end_span", "trace_id"]


def configure_logs(level, sink=sys.stderr, **bound):
    """Write logs as JSON lines from a level up.

    Args:
        level: Name of the least level.
        sink: File to write to.
        **bound: Values that every line carries.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.PrintLoggerFactory(sink),
    )
    structlog.contextvars.clear_contextvars()
    structlog.contextvars.bind_contextvars(**bound)


class _JsonLines(SpanExporter):
    """Writes each span as one line of JSON."""

    def __init__(self, path):
        self._file = open(path, "a", buffering=1)  # noqa: SIM115

    def export(self, spans):
        for span in spans:
            self._file.write(span.to_json(indent=None) + "\n")
        return SpanExportResult.SUCCESS

    def shutdown(self):
        self._file.close()


class Tracing:
    """Spans of this process, one for each hop of a request.

    Args:
        path: File for the spans, empty for none.
        instance_id: Our instance id.
        share: Share of requests traced that carry no trace context.
        rng: Source of chance.
    """

    def __init__(self, path, instance_id, share, rng):
        self.is_on = bool(path)
        self._share = share
        self._rng = rng
        self._propagator = TraceContextTextMapPropagator()
        if self.is_on:
            resource = Resource.create(
                {"service.name": "snipebayd", "service.instance.id": instance_id}
            )
            self._provider = TracerProvider(resource=resource)
            self._provider.add_span_processor(SimpleSpanProcessor(_JsonLines(path)))
            self._tracer = self._provider.get_tracer("snipebay")

    def start(self, name, traceparent="", parent=None, **attributes):
        """Return a span, or None when this request is not traced.

        Args:
            name: Name of the hop.
            traceparent: W3C header that came with the request.
            parent: Span of the hop before, in this process.
            **attributes: What to note on it.
        """
        if not self.is_on:
            return None
        if parent is not None:
            context = trace.set_span_in_context(parent)
        elif traceparent:
            context = self._propagator.extract({"traceparent": traceparent})
        elif self._rng.random() < self._share:
            context = None
        else:
            return None
        return self._tracer.start_span(name, context=context, attributes=attributes)

    def headers(self, span):
        """Return the trace headers for the next hop."""
        if span is None:
            return []
        carrier = {}
        self._propagator.inject(carrier, trace.set_span_in_context(span))
        return [(k.encode(), v.encode()) for k, v in carrier.items()]

    def close(self):
        """Write out what is left."""
        if self.is_on:
            self._provider.shutdown()


def end_span(span, **attributes):
    """End a span that may be None."""
    if span is not None:
        span.set_attributes(attributes)
        span.end()


def trace_id(span):
    """Return a span's trace id in hexadecimal, or an empty string."""
    return f"{span.get_span_context().trace_id:032x}" if span is not None else ""
