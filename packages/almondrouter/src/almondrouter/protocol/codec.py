"""MessagePack codec for messages between daemons."""

from __future__ import annotations

from typing import Any, Generic, TypeVar

import msgspec

from almondrouter.errors import MALFORMED_DATA_ERRORS, AlmondError, ErrorCode

PROTOCOL_VERSION = 1
MAX_CONTROL_FRAME_BYTES = 2_000_000
MAX_CALL_FRAME_BYTES = 8_000_000

T = TypeVar("T")


class Codec(Generic[T]):
    """Encodes and decodes the messages of a tagged union.

    Parameters
    ----------
    union
        Union of tagged msgspec structs.
    max_bytes
        Size limit of a frame in bytes.
    """

    def __init__(self, union: Any, *, max_bytes: int) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(union)
        self.max_bytes = max_bytes

    def encode(self, message: T) -> bytes:
        """Encode a message as a frame.

        Raises
        ------
        AlmondError
            ``frame_too_large`` if the receiver would reject the frame.
        """
        data = self._encoder.encode(message)
        self._check_size(len(data))
        return data

    def decode(self, data: bytes | memoryview) -> T:
        """Decode the message of a frame.

        Raises
        ------
        AlmondError
            ``frame_too_large`` or ``frame_malformed``.
        """
        self._check_size(len(data))
        try:
            return self._decoder.decode(data)
        except MALFORMED_DATA_ERRORS as error:
            raise AlmondError(ErrorCode.FRAME_MALFORMED, str(error)) from error

    def _check_size(self, size: int) -> None:
        if size > self.max_bytes:
            message = f"{size} bytes exceed the frame limit of {self.max_bytes} bytes"
            raise AlmondError(ErrorCode.FRAME_TOO_LARGE, message)
