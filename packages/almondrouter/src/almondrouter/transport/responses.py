"""Responses to callers as bytes of HTTP/1.1."""

from __future__ import annotations

from http import HTTPStatus

from almondrouter.transport.calls import CallerResponse

_STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n"
    for status in HTTPStatus
}
_BODYLESS = frozenset({HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED})


def encode_response(response: CallerResponse, *, keep_alive: bool) -> bytes:
    """Return an HTTP/1.1 response as bytes."""
    line = _STATUS_LINES.get(response.status)
    parts = [line or f"HTTP/1.1 {response.status} \r\n"]
    parts += [f"{name}: {value}\r\n" for name, value in response.headers]
    if not keep_alive:
        parts.append("Connection: close\r\n")
    if response.status in _BODYLESS:
        parts.append("\r\n")
        return "".join(parts).encode("latin-1")
    if response.framed:
        parts.append(f"Content-Length: {len(response.body)}\r\n")
    parts.append("\r\n")
    return "".join(parts).encode("latin-1") + response.body
