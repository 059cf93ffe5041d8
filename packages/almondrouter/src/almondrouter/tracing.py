"""Trace spans with W3C trace context; each hop of a call has its own span."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterator
from contextlib import contextmanager


class Span(ABC):
    """Span of one hop of a call.

    Attributes
    ----------
    traceparent
        Trace context to propagate to the next hop; empty if there is none.
    """

    traceparent: str

    @abstractmethod
    def annotate(self, **attributes: str | int | float) -> None:
        """Set attributes on the span."""


class Tracer(ABC):
    """Creates spans."""

    @abstractmethod
    @contextmanager
    def span(self, name: str, traceparent: str) -> Iterator[Span]:
        """Start a child of a W3C ``traceparent``, or a new trace if it is empty."""

    def close(self) -> None:  # noqa: B027
        """Export the spans that are still buffered."""


class PassThroughTracer(Tracer):
    """Propagates the caller's trace context without recording spans."""

    @contextmanager
    def span(self, name: str, traceparent: str) -> Iterator[Span]:  # noqa: D102
        yield PassThroughSpan(traceparent)


class PassThroughSpan(Span):
    """Span of a call that is not recorded."""

    def __init__(self, traceparent: str) -> None:
        self.traceparent = traceparent

    def annotate(self, **attributes: str | int | float) -> None:  # noqa: D102
        return
