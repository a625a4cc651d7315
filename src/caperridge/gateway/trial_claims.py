"""Claims of trials of quarantined requests that outlast the wait of a request."""

import asyncio
from collections.abc import Awaitable, Callable

from caperridge.decisions.suspects import Hold, Suspect

# A request that waits for its trial is refused if the store takes longer. Only one
# waits for each suspect, and a refused one comes back later than the claim is granted.
CLAIM_TIMEOUT_S = 1.0


class TrialClaims:
    """Keeps claims until a request uses them.

    A claim that is granted late has used up its trial for all instances. So it is not
    cancelled when its request no longer waits, and the next request may use it.

    Args:
        claim: claims the next trial of a suspect in the store; returns the hold that
            applies then, None if it is not granted.
    """

    def __init__(self, claim: Callable[[Suspect], Awaitable[Hold | None]]) -> None:
        self._claim = claim
        self._claims_by_content: dict[str, asyncio.Future[Hold | None]] = {}

    async def use(self, suspect: Suspect) -> bool:
        """Claim the next trial of a request; return whether it may be made now."""
        claim = self._claims_by_content.get(suspect.content)
        if claim is None or (claim.done() and not _is_valid(claim, suspect)):
            claim = asyncio.ensure_future(self._claim(suspect))
            self._claims_by_content[suspect.content] = claim
        await asyncio.wait([claim], timeout=CLAIM_TIMEOUT_S)
        if not claim.done():
            return False
        self._claims_by_content.pop(suspect.content, None)
        return _is_valid(claim, suspect)

    def is_open(self, suspect: Suspect) -> bool:
        """Whether a claim of a request is under way or was granted and not used."""
        claim = self._claims_by_content.get(suspect.content)
        return claim is not None and (not claim.done() or _is_valid(claim, suspect))

    def discard_done(self) -> None:
        """Discard claims that nobody used; their trials are due again later."""
        for content, claim in list(self._claims_by_content.items()):
            if claim.done():
                del self._claims_by_content[content]


def _is_valid(claim: asyncio.Future[Hold | None], suspect: Suspect) -> bool:
    """Whether a claim was granted, and nothing has changed the hold since then."""
    granted = claim.result()
    return granted is not None and suspect.hold is granted
