"""hibiscusstep.forwarding.fingerprint: identifies requests and parts of prompts."""

import hashlib

__all__ = ["fingerprint", "part_fingerprint"]

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
    return _hash(method, host.lower(), target, customer, body=body)


def part_fingerprint(pool: str, model: str, part: str) -> int:
    """Return a hash of a part of a prompt, equal for all requests that have it.

    Customers are not hashed, since they share parts.

    Parameters
    ----------
    pool, model : str
        The pool and the model that read the prompt; another model may read the same
        part well.
    part : str
        ID of the part.

    Returns
    -------
    int
        At least 1; fits a signed 64-bit integer.
    """
    return _hash(pool, model, part)


def _hash(*texts: str, body: bytes = b"") -> int:
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for text in texts:
        digest.update(text.encode("utf-8", "surrogateescape") + b"\0")
    digest.update(body)
    return int.from_bytes(digest.digest(), "big") >> 1 or 1
