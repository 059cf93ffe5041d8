"""Differences between two stored configurations.

Load pattern: versions in quick succession that change a few routes among a thousand,
handed on over narrow links. A difference names runs of pieces of the older form that
are kept, and holds only the pieces that are new.
"""

from __future__ import annotations

import zlib

import msgspec
import xxhash

from almondrouter.errors import AlmondError, ErrorCode

_BOUNDARY = b'{"name":'
"""Begins each route of a stored configuration; any boundary gives a true result."""


class _Delta(msgspec.Struct, array_like=True):
    """How to make a newer form.

    Parameters
    ----------
    digest
        Hash of the newer form.
    parts
        Runs of pieces of the older form as first piece and count, and new pieces.
    """

    digest: int
    parts: list[tuple[int, int] | bytes]


def make_delta(older: bytes, newer: bytes) -> bytes:
    """Return what makes the newer form of the older one."""
    places = {piece: place for place, piece in enumerate(older.split(_BOUNDARY))}
    parts: list[tuple[int, int] | bytes] = []
    for piece in newer.split(_BOUNDARY):
        place = places.get(piece)
        last = parts[-1] if parts else b""
        if place is None:
            parts.append(piece)
        elif isinstance(last, tuple) and sum(last) == place:
            parts[-1] = (last[0], last[1] + 1)
        else:
            parts.append((place, 1))
    delta = _Delta(xxhash.xxh64_intdigest(newer), parts)
    return zlib.compress(msgspec.msgpack.encode(delta), zlib.Z_BEST_SPEED)


def apply_delta(older: bytes, data: bytes) -> bytes:
    """Return the newer form.

    Raises
    ------
    AlmondError
        ``frame_malformed`` if the difference cannot be read or belongs to another
        older form.
    """
    try:
        delta = msgspec.msgpack.decode(zlib.decompress(data), type=_Delta)
    except (zlib.error, msgspec.DecodeError) as error:
        raise AlmondError(ErrorCode.FRAME_MALFORMED, str(error)) from error
    pieces = older.split(_BOUNDARY)
    newer: list[bytes] = []
    for part in delta.parts:
        if isinstance(part, bytes):
            newer.append(part)
        else:
            first, count = part
            newer += pieces[first : first + count]
    joined = _BOUNDARY.join(newer)
    if xxhash.xxh64_intdigest(joined) != delta.digest:
        message = "the difference belongs to another configuration"
        raise AlmondError(ErrorCode.FRAME_MALFORMED, message)
    return joined
