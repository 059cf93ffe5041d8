"""Deltas between two encoded configurations.

They keep updates small when versions follow each other quickly, each version changes
a few of about a thousand routes, and links are narrow. A delta lists the runs of
chunks to copy from the older encoding, and contains only the chunks that are new.
"""

from __future__ import annotations

import zlib

import msgspec
import xxhash

from almondrouter.errors import MALFORMED_DATA_ERRORS, AlmondError, ErrorCode

_CHUNK_SEPARATOR = b'{"name":'
"""Separates chunks: each route of an encoded configuration begins with it.

The choice affects only the size of a delta; any separator gives correct results.
"""


class _Delta(msgspec.Struct, array_like=True):
    """Instructions to build the newer encoding from the older one.

    Parameters
    ----------
    digest
        Hash of the newer encoding.
    parts
        In order: runs to copy from the older encoding, as index of the first chunk
        and number of chunks, and new chunks.
    """

    digest: int
    parts: list[tuple[int, int] | bytes]


def make_delta(older: bytes, newer: bytes) -> bytes:
    """Return the compressed delta that turns ``older`` into ``newer``."""
    chunk_indexes = {
        chunk: index for index, chunk in enumerate(older.split(_CHUNK_SEPARATOR))
    }
    parts: list[tuple[int, int] | bytes] = []
    for chunk in newer.split(_CHUNK_SEPARATOR):
        index = chunk_indexes.get(chunk)
        last = parts[-1] if parts else b""
        if index is None:
            parts.append(chunk)
        elif isinstance(last, tuple) and sum(last) == index:
            parts[-1] = (last[0], last[1] + 1)
        else:
            parts.append((index, 1))
    delta = _Delta(xxhash.xxh64_intdigest(newer), parts)
    return zlib.compress(msgspec.msgpack.encode(delta), zlib.Z_BEST_SPEED)


def apply_delta(older: bytes, data: bytes) -> bytes:
    """Return the newer encoding, built from ``older`` and a compressed delta.

    Raises
    ------
    AlmondError
        ``frame_malformed`` if the delta cannot be decoded or was made from another
        older encoding.
    """
    try:
        delta = msgspec.msgpack.decode(zlib.decompress(data), type=_Delta)
    except (*MALFORMED_DATA_ERRORS, zlib.error) as error:
        raise AlmondError(ErrorCode.FRAME_MALFORMED, str(error)) from error
    chunks = older.split(_CHUNK_SEPARATOR)
    newer: list[bytes] = []
    for part in delta.parts:
        if isinstance(part, bytes):
            newer.append(part)
        else:
            first, count = part
            newer += chunks[first : first + count]
    joined = _CHUNK_SEPARATOR.join(newer)
    if xxhash.xxh64_intdigest(joined) != delta.digest:
        message = "the delta was made from another configuration"
        raise AlmondError(ErrorCode.FRAME_MALFORMED, message)
    return joined
