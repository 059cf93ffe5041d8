"""Trace spans with W3C trace context, one span for each hop of a call."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterator
from contextlib import contextmanager


class Span(ABC):
    """A span of one hop.

    Attributes
    ----------
    traceparent
        Trace context for the next hop; empty if there is none.
    """

    traceparent: str

    @abstractmethod
    def annotate(self, **attributes: str | int | float) -> None:
        """Set attributes of the span."""


class Tracer(ABC):
    """Starts spans."""

    @abstractmethod
    @contextmanager
    def span(self, name: str, traceparent: str) -> Iterator[Span]:
        """Start a span under a W3C ``traceparent``, or a new trace if it is empty."""

    def close(self) -> None:  # noqa: B027
        """Export what is still buffered."""


class PassTracer(Tracer):
    """Passes the caller's trace context on and records nothing."""

    @contextmanager
    def span(self, name: str, traceparent: str) -> Iterator[Span]:  # noqa: D102
        yield PassSpan(traceparent)


class PassSpan(Span):
    """The span of a call that is not traced."""

    def __init__(self, traceparent: str) -> None:
        self.traceparent = traceparent

    def annotate(self, **attributes: str | int | float) -> None:  # noqa: D102
        return
