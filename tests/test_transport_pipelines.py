"""Tests of the order in which the requests of a connection start and are answered."""

from __future__ import annotations

import unittest

from parameterized import parameterized

from almondrouter.transport.calls import CallerRequest, CallerResponse
from almondrouter.transport.pipelines import MAX_PIPELINED, Exchange, Pipeline

ANSWER = CallerResponse(200, (), b"")


class PipelineTest(unittest.TestCase):
    """Requests are made directly; no connection and no event loop."""

    def make_pipeline(self, methods):
        pipeline = Pipeline()
        for number, method in enumerate(methods.split()):
            request = CallerRequest(method, f"/{number}", (), b"")
            pipeline.append(Exchange(request, keep_alive=True))
        return pipeline

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
        """Guards against running a request that its caller will send again."""
        pipeline = self.make_pipeline(methods)
        started = [e.request.target for e in pipeline.list_startable()]
        self.assertEqual([f"/{number}" for number in range(count)], started)

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

    def test_request_starts_once(self):
        """Guards against a second run of a request whose task has ended."""
        pipeline = self.make_pipeline("GET POST")
        self.assertEqual(1, len(pipeline.list_startable()))
        for exchange in pipeline:
            exchange.started = True
        self.assertEqual([], pipeline.list_startable())

    def test_limit_is_exact(self):
        """Guards against one request more than the limit allows."""
        pipeline = self.make_pipeline("GET " * (MAX_PIPELINED - 1))
        self.assertEqual(1, pipeline.room)
        pipeline.append(Exchange(CallerRequest("GET", "/", (), b""), keep_alive=True))
        self.assertEqual(0, pipeline.room)
