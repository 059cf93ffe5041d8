"""Tests of trace spans."""

import unittest

from opentelemetry.sdk.trace.export.in_memory_span_exporter import InMemorySpanExporter
from parameterized import parameterized

from almondrouterd.tracing import SdkTracer

TRACE = "0af7651916cd43dd8448eb211c80319c"
SAMPLED = f"00-{TRACE}-b7ad6b7169203331-01"
NOT_SAMPLED = f"00-{TRACE}-b7ad6b7169203331-00"


class SdkTracerTest(unittest.TestCase):
    """Guards against hops of one call that end up in different traces."""

    def setUp(self):
        self.exporter = InMemorySpanExporter()

    def make_tracer(self, sample=0.0):
        tracer = SdkTracer(host="h1", sample=sample, exporter=self.exporter)
        self.addCleanup(tracer.close)
        return tracer

    def test_each_hop_is_the_parent_of_the_next(self):
        """Guards against a hop that starts a trace of its own."""
        tracer = self.make_tracer()
        with tracer.span("ingress", SAMPLED) as first:
            first.annotate(host="h1")
            with tracer.span("egress", first.traceparent) as second:
                self.assertIn(TRACE, second.traceparent)
        egress, ingress = self.exporter.get_finished_spans()
        self.assertEqual(egress.parent.span_id, ingress.context.span_id)
        self.assertEqual(f"{ingress.context.trace_id:032x}", TRACE)
        self.assertEqual(ingress.attributes["almond.host"], "h1")

    @parameterized.expand(
        [
            ("not sampled by the caller", NOT_SAMPLED, 1.0, 0),
            ("malformed flags", f"00-{TRACE}-b7ad6b7169203331-zz", 1.0, 0),
            ("no context, none sampled", "", 0.0, 0),
            ("no context, all sampled", "", 1.0, 1),
        ]
    )
    def test_sampling(self, _name, traceparent, sample, spans):
        """Guards against spans of calls that the caller chose not to sample."""
        with self.make_tracer(sample).span("ingress", traceparent) as span:
            if not spans:
                self.assertEqual(span.traceparent, traceparent)
        self.assertEqual(len(self.exporter.get_finished_spans()), spans)
