"""hibiscusstep.forwarding.fingerprint: what makes two attempts the same request."""

import hashlib

__all__ = ["fingerprint"]

_BYTES = 8


def fingerprint(method: str, host: str, target: str, customer: str, body: bytes) -> int:
    """Return a number that all attempts at one request share.

    Ids, deadlines and the event behind which a stream goes on differ from attempt to
    attempt and are left out. The hash withstands a caller who looks for a request that
    another customer's would be mistaken for.

    Parameters
    ----------
    method, host, target : str
        As in the request line and the ``Host`` field; the target with its query.
    customer : str
        Whose request it is, "" on a public route.
    body : bytes
        The whole body.

    Returns
    -------
    int
        At least 1; fits a signed integer of 64 bits.
    """
    digest = hashlib.blake2b(digest_size=_BYTES)
    for part in (method, host.lower(), target, customer):
        digest.update(part.encode("utf-8", "surrogateescape") + b"\0")
    digest.update(body)
    return int.from_bytes(digest.digest(), "big") >> 1 or 1
