"""Trace spans recorded with the OpenTelemetry SDK."""

from __future__ import annotations

import random
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from almondrouter.tracing import PassThroughSpan, Span, Tracer

_SAMPLED_FLAG = 1


class SdkTracer(Tracer):
    """Records spans with the OpenTelemetry SDK.

    Parameters
    ----------
    host
        Name of this host, set on each span.
    sample
        Share of calls without a trace context that are traced, from 0 to 1. A
        call that arrives with a sampled context is always traced.
    exporter
        OpenTelemetry span exporter; JSON lines on standard error if None.
    """

    def __init__(self, *, host: str, sample: float, exporter: Any = None) -> None:
        # Imported here so that daemons without tracing do not load the SDK into memory.
        from opentelemetry import trace
        from opentelemetry.sdk.resources import Resource
        from opentelemetry.sdk.trace import TracerProvider
        from opentelemetry.sdk.trace.export import (
            ConsoleSpanExporter,
            SimpleSpanProcessor,
        )
        from opentelemetry.trace.propagation.tracecontext import (
            TraceContextTextMapPropagator,
        )

        if exporter is None:
            exporter = ConsoleSpanExporter(
                out=sys.stderr, formatter=lambda span: span.to_json(indent=None) + "\n"
            )
        resource = Resource({"service.name": "almondrouterd", "host.name": host})
        self._provider = TracerProvider(resource=resource, shutdown_on_exit=False)
        self._provider.add_span_processor(SimpleSpanProcessor(exporter))
        self._tracer = self._provider.get_tracer("almondrouter")
        self._propagator = TraceContextTextMapPropagator()
        self._set_in_context = trace.set_span_in_context
        self._sample = sample

    @contextmanager
    def span(self, name: str, traceparent: str) -> Iterator[Span]:  # noqa: D102
        if not self._should_record(traceparent):
            yield PassThroughSpan(traceparent)
            return
        context = self._propagator.extract({"traceparent": traceparent})
        recorded = self._tracer.start_span(name, context=context)
        carrier: dict[str, str] = {}
        self._propagator.inject(carrier, context=self._set_in_context(recorded))
        try:
            yield RecordedSpan(recorded, carrier.get("traceparent", ""))
        finally:
            recorded.end()

    def close(self) -> None:
        """Export buffered spans and shut the SDK down."""
        self._provider.shutdown()

    def _should_record(self, traceparent: str) -> bool:
        if not traceparent:
            return random.random() < self._sample
        flags = traceparent.rpartition("-")[2]
        try:
            return bool(int(flags, 16) & _SAMPLED_FLAG)
        except ValueError:
            return False


class RecordedSpan(Span):
    """A span that the SDK records."""

    def __init__(self, recorded: Any, traceparent: str) -> None:
        self._recorded = recorded
        self.traceparent = traceparent

    def annotate(self, **attributes: str | int | float) -> None:  # noqa: D102
        for name, value in attributes.items():
            self._recorded.set_attribute(f"almond.{name}", value)
