"""Idempotency keys: UUIDs of version 7, which contain their time of creation."""

from uuid import UUID

import xxhash

from ..exceptions import StateError

_TIMESTAMP_SHIFT_BITS = 80


class KeyRefusedError(StateError):
    """An idempotency key is malformed, older than the window or from the future."""


def created_at_s(key):
    """Return a key's time of creation in seconds since the epoch.

    Raises ``KeyRefusedError`` if the key is not a UUID of version 7.
    """
    try:
        uuid = UUID(key)
    except ValueError:
        uuid = None
    if uuid is None or uuid.version != 7:
        raise KeyRefusedError(
            f"Idempotency-Key {key!r} is not a UUID of version 7", step="check key"
        )
    return (uuid.int >> _TIMESTAMP_SHIFT_BITS) / 1000


def check_age(key, now_s, window_s, skew_s):
    """Raise ``KeyRefusedError`` unless the key was created within the window.

    A key may be up to ``skew_s`` from the future, because clocks differ. All times are
    in seconds.
    """
    age_s = now_s - created_at_s(key)
    if age_s > window_s:
        raise KeyRefusedError(
            f"Idempotency-Key is {age_s:.0f} s old; the window is {window_s:.0f} s",
            step="check key",
        )
    if age_s < -skew_s:
        raise KeyRefusedError(
            f"Idempotency-Key is {-age_s:.0f} s in the future", step="check key"
        )


def shard_of(key, shard_count):
    """Return the number of the shard that holds a key's claims."""
    return xxhash.xxh3_64_intdigest(key.encode()) % shard_count


def stream_of(shard_number):
    """Return the name of a shard's stream."""
    return f"claims-{shard_number}"


def digest_of(method, path, body):
    """Return a digest by which two requests under one key are compared."""
    head = f"{method} {path}\n".encode()
    return xxhash.xxh3_128_hexdigest(head + body)
