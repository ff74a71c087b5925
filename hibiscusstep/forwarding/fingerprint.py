"""hibiscusstep.forwarding.fingerprint: identifies attempts of the same request."""

import hashlib

__all__ = ["fingerprint"]

_DIGEST_BYTES = 8


def fingerprint(method: str, host: str, target: str, customer: str, body: bytes) -> int:
    """Return a hash that all attempts of one request share.

    IDs, deadlines and the event after which a stream resumes differ between attempts
    and are not hashed. The hash is collision-resistant, so that a caller cannot craft a
    request with the same fingerprint as another customer's.

    Parameters
    ----------
    method, host, target : str
        Values of the request line and the ``Host`` header; the target includes the
        query.
    customer : str
        Name of the customer; "" on a public route.
    body : bytes
        Complete body.

    Returns
    -------
    int
        At least 1; fits a signed 64-bit integer.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (method, host.lower(), target, customer):
        digest.update(part.encode("utf-8", "surrogateescape") + b"\0")
    digest.update(body)
    return int.from_bytes(digest.digest(), "big") >> 1 or 1
