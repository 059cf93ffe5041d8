"""Tenants whose requests share the services of a deployment, and their keys."""

from __future__ import annotations

import hashlib
import secrets
from collections.abc import Mapping
from dataclasses import dataclass, field

_DIGEST_SECRET = secrets.token_bytes(32)
"""Key of the digests of this process; digests are of no use outside of it."""
_DIGEST_BYTES = 16


def digest_key(key: bytes) -> bytes:
    """Return the digest under which a tenant's key is kept in memory."""
    return hashlib.blake2b(key, key=_DIGEST_SECRET, digest_size=_DIGEST_BYTES).digest()


@dataclass(frozen=True, slots=True)
class TenantPolicy:
    """Declared properties of a tenant.

    Parameters
    ----------
    name
        Name that backend servers get with each request of the tenant.
    priority
        Priority rank of its requests, which precedes the rank of the route; None if
        the rank of the route decides.
    rate
        Requests per second over all daemons; 0 for no limit.
    burst
        Requests beyond the rate that may come at once.
    """

    name: str
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0


@dataclass(frozen=True, slots=True)
class TenantTable:
    """All tenants of a configuration.

    Parameters
    ----------
    policies
        Tenants by name.
    owners
        Name of the tenant that holds a key, by the digest of the key.
    """

    policies: Mapping[str, TenantPolicy] = field(default_factory=dict)
    owners: Mapping[bytes, str] = field(default_factory=dict)

    def find_owner(self, key: str) -> TenantPolicy | None:
        """Return the tenant that holds a key, or None if no tenant does.

        Parameters
        ----------
        key
            Value of a header, one character for each byte received.
        """
        name = self.owners.get(digest_key(key.encode("latin-1", "replace")))
        return None if name is None else self.policies[name]
