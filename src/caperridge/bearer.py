"""Bearer tokens of requests (RFC 6750), looked up by digest.

The time of a look-up by digest reveals nothing about the token.
"""

from multidict import CIMultiDict, CIMultiDictProxy

from caperridge import keys

AUTHORIZATION = "Authorization"
AUTHENTICATE = "WWW-Authenticate"
SCHEME = "Bearer"


def bearer_digest(headers: CIMultiDict[str] | CIMultiDictProxy[str]) -> str:
    """Return the digest of the bearer token in ``headers``; empty if there is none.

    A request with several ``Authorization`` headers has no token: the recipients of a
    request could each take another one.

    >>> bearer_digest(CIMultiDict({"authorization": "bearer  t1 "})) == (
    ...     keys.token_digest("t1"))
    True
    >>> bearer_digest(CIMultiDict({"Authorization": "Basic t1"}))
    ''
    """
    values = headers.getall(AUTHORIZATION, [])
    if len(values) != 1:
        return ""
    scheme, _, token = values[0].strip().partition(" ")
    token = token.strip()
    if scheme.lower() != SCHEME.lower() or not token:
        return ""
    return keys.token_digest(token)
