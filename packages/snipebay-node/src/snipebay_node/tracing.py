"""Trace spans, written as lines of JSON."""

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

__all__ = ["Tracing", "end_span", "trace_id"]


class _JsonLineExporter(SpanExporter):
    """Appends each span to a file as one line of JSON."""

    def __init__(self, path):
        self._file = open(path, "a", buffering=1)  # noqa: SIM115

    def export(self, spans):
        for span in spans:
            self._file.write(span.to_json(indent=None) + "\n")
        return SpanExportResult.SUCCESS

    def shutdown(self):
        self._file.close()


class Tracing:
    """Creates the trace spans of this process, one for each hop of a request.

    Args:
        path: File for the spans; empty disables tracing.
        instance_id: Id of this instance.
        share: Fraction of the requests without trace context that are traced.
        rng: Random number generator for the sampling.
    """

    def __init__(self, path, instance_id, share, rng):
        self.is_enabled = bool(path)
        self._share = share
        self._rng = rng
        self._propagator = TraceContextTextMapPropagator()
        if self.is_enabled:
            resource = Resource.create(
                {"service.name": "snipebayd", "service.instance.id": instance_id}
            )
            self._provider = TracerProvider(resource=resource)
            self._provider.add_span_processor(
                SimpleSpanProcessor(_JsonLineExporter(path))
            )
            self._tracer = self._provider.get_tracer("snipebay")

    def start(self, name, traceparent="", parent=None, **attributes):
        """Return a new span, or None if the request is not traced.

        Args:
            name: Name of the hop.
            traceparent: W3C trace context header of the request, or empty.
            parent: Span of the previous hop, if it is in this process.
            **attributes: Attributes of the span.
        """
        if not self.is_enabled:
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
        """Flush and close the span exporter."""
        if self.is_enabled:
            self._provider.shutdown()


def end_span(span, **attributes):
    """Set attributes on a span and end it; ignores None."""
    if span is not None:
        span.set_attributes(attributes)
        span.end()


def trace_id(span):
    """Return a span's trace id in hexadecimal, or an empty string for None."""
    return f"{span.get_span_context().trace_id:032x}" if span is not None else ""
