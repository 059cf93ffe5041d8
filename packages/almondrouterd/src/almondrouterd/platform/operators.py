"""HTTP endpoint for operators of the daemon for hosting platforms."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import msgspec

from almondrouter.coordination.callexplanation import CallExplainer, CallQuestion
from almondrouter.errors import MALFORMED_DATA_ERRORS, AlmondError, ErrorCode
from almondrouter.state.routes import CallerLimits
from almondrouter.transport.calls import CallerRequest, CallerResponse
from almondrouterd.platform.headers import KEY

EXPLAIN_CALL_PATH = "/explain/call"


class CallQuery(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a question about a request.

    Parameters
    ----------
    host, target
        Virtual host, and path with the query.
    key
        Key of a tenant, which no response, log line or error contains.
    tenant
        Name of a tenant, in place of a key.
    body_bytes
        Length of the body.
    nested
        Whether the backend server of this host makes the request for another one.
    """

    host: str
    target: str
    method: str = "GET"
    key: str = ""
    tenant: str = ""
    body_bytes: int = 0
    nested: bool = False


class OperatorEndpoint:
    """Answers the questions of operators.

    Parameters
    ----------
    explainer
        Finds where requests would go.
    limits
        Returns the limits on requests in force.
    """

    def __init__(
        self, explainer: CallExplainer, *, limits: Callable[[], CallerLimits]
    ) -> None:
        self._explainer = explainer
        self._limits = limits

    async def handle(self, request: CallerRequest) -> CallerResponse:
        """Serve one request."""
        if (request.method, request.target) != ("POST", EXPLAIN_CALL_PATH):
            message = "this address does not serve the method and path"
            return _make_error_response(
                AlmondError(ErrorCode.TARGET_UNKNOWN, message), HTTPStatus.NOT_FOUND
            )
        try:
            question = self._read_question(request.body)
            explanation = self._explainer.explain(question)
        except AlmondError as error:
            return _make_error_response(error, HTTPStatus.BAD_REQUEST)
        return _make_json_response(msgspec.to_builtins(explanation), HTTPStatus.OK)

    def _read_question(self, body: bytes) -> CallQuestion:
        try:
            query = msgspec.json.decode(body, type=CallQuery)
        except MALFORMED_DATA_ERRORS as error:
            raise AlmondError(ErrorCode.HEADER_INVALID, str(error)) from None
        if query.key and query.tenant:
            message = "a question has a key or a tenant, not both"
            raise AlmondError(ErrorCode.HEADER_INVALID, message)
        limit = self._limits().max_body_bytes
        if not 0 <= query.body_bytes <= limit:
            message = f"the length of the body must be from 0 to {limit} bytes"
            raise AlmondError(ErrorCode.BODY_TOO_LARGE, message)
        key = ((KEY, query.key),) if query.key else ()
        request = CallerRequest(
            query.method,
            query.target,
            (("host", query.host), *key),
            bytes(query.body_bytes),
        )
        return CallQuestion(request, query.tenant, query.nested)


def _make_error_response(error: AlmondError, status: int) -> CallerResponse:
    data = {"code": error.code.value, "message": error.message}
    return _make_json_response(data, status)


def _make_json_response(data: Any, status: int) -> CallerResponse:
    headers = (("content-type", "application/json"),)
    return CallerResponse(status, headers, msgspec.json.encode(data))
