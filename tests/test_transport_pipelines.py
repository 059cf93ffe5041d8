"""Tests of the order in which the requests of a connection start and are answered."""

from __future__ import annotations

import unittest

from parameterized import parameterized

from almondrouter.clock import ManualClock
from almondrouter.transport.calls import CallerRequest, CallerResponse
from almondrouter.transport.pipelines import (
    MAX_PIPELINED,
    UNFRAMED_MEMORY_S,
    Exchange,
    FramingHistory,
    Pipeline,
)

ANSWER = CallerResponse(200, (), b"")
UNFRAMED = CallerResponse(200, (), b"", framed=False)
ERROR = CallerResponse(503, (), b"")


class PipelineTest(unittest.TestCase):
    """Requests are made directly; no connection and no event loop."""

    def make_pipeline(self, methods):
        pipeline = Pipeline()
        for number, method in enumerate(methods.split()):
            request = CallerRequest(method, f"/{number}", (), b"")
            pipeline.append(Exchange(request, keep_alive=True))
        return pipeline

    @parameterized.expand([("safe", "GET HEAD GET"), ("unsafe", "POST GET")])
    def test_requests_start_one_after_another(self, _, methods):
        """Guards against running a request that its caller will send again."""
        pipeline = self.make_pipeline(methods)
        for number in range(len(methods.split())):
            (exchange,) = pipeline.list_startable(concurrent=False)
            self.assertEqual(f"/{number}", exchange.request.target)
            exchange.started = True
            self.assertEqual([], pipeline.list_startable(concurrent=False))
            exchange.response = ANSWER
            self.assertEqual([], pipeline.list_startable(concurrent=False))
            self.assertIs(exchange, pipeline.pop_answered())
        self.assertEqual([], pipeline.list_startable(concurrent=False))

    @parameterized.expand(
        [
            ("safe", "GET HEAD GET", 3),
            ("unsafe", "POST POST", 1),
            ("unsafe after safe", "GET GET POST GET", 2),
            ("safe after unsafe", "POST GET", 1),
            ("none", "", 0),
        ]
    )
    def test_unsafe_request_starts_alone(self, _, methods, count):
        """Guards against running a request twice that its caller sends again."""
        pipeline = self.make_pipeline(methods)
        started = pipeline.list_startable(concurrent=True)
        self.assertEqual(
            [f"/{number}" for number in range(count)],
            [exchange.request.target for exchange in started],
        )
        for exchange in started:
            exchange.started = True
        self.assertEqual([], pipeline.list_startable(concurrent=True))
        self.assertEqual(count > 0, pipeline.has_started)

    def test_responses_are_taken_in_order(self):
        """Guards against a response that overtakes that of an earlier request."""
        pipeline = self.make_pipeline("GET GET GET")
        first, second, _ = pipeline
        second.response = ANSWER
        self.assertIsNone(pipeline.pop_answered())
        first.response = ANSWER
        self.assertIs(first, pipeline.pop_answered())
        self.assertIs(second, pipeline.pop_answered())
        self.assertIsNone(pipeline.pop_answered())
        self.assertEqual(1, len(pipeline.clear()))
        self.assertFalse(pipeline)

    def test_limit_is_exact(self):
        """Guards against one request more than the limit allows."""
        pipeline = self.make_pipeline("GET " * (MAX_PIPELINED - 1))
        self.assertEqual(1, pipeline.room)
        pipeline.append(Exchange(CallerRequest("GET", "/", (), b""), keep_alive=True))
        self.assertEqual(0, pipeline.room)


class FramingHistoryTest(unittest.TestCase):
    """Responses that callers were sent, and the time since."""

    @parameterized.expand(
        [
            ("nothing seen", (), 0.0, False),
            ("only errors", (ERROR,), 99.0, False),
            ("with a length", (ANSWER,), 0.0, True),
            ("without one", (ANSWER, UNFRAMED, ANSWER), UNFRAMED_MEMORY_S - 1, False),
            ("without one before", (ANSWER, UNFRAMED), UNFRAMED_MEMORY_S, True),
        ]
    )
    def test_reliable(self, _, responses, seconds, expected):
        """Guards against requests that run behind a response that ends them."""
        clock = ManualClock()
        history = FramingHistory(clock)
        for response in responses:
            history.record(response)
        clock.advance(seconds)
        self.assertIs(expected, history.is_reliable)
