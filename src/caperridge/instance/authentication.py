"""Who sends a request: the caller or the operator whose token it carries."""

import hmac

from aiohttp import web

from caperridge.config.model import Caller
from caperridge.instance.configuration import ConfigurationKeeper
from caperridge.instance.http_common import bearer_digest
from caperridge.instance.in_flight import ENTRY
from caperridge.refusals import Refusal, RefusedError

FIRST_OPERATOR = "first-operator"


class Authentication:
    """Knows callers and operators by the digests of their tokens.

    Args:
        configuration: that declares them.
        first_operator_sha256: digest of the token that counts until an operator is
            declared; empty for none.
    """

    def __init__(
        self, configuration: ConfigurationKeeper, first_operator_sha256: str
    ) -> None:
        self._configuration = configuration
        self._first_operator_sha256 = first_operator_sha256

    def caller(self, request: web.Request) -> Caller:
        """Return the caller whose token the request carries.

        Raises:
            RefusedError: no caller has it.
        """
        caller = self._configuration.caller(bearer_digest(request))
        if caller is None:
            raise RefusedError(Refusal("unauthorized", "no caller has this token", 401))
        if ENTRY in request:
            request[ENTRY].caller = caller.name
        return caller

    def operator(self, request: web.Request) -> str:
        """Return the name of the operator whose token the request carries.

        Raises:
            RefusedError: no operator has it.
        """
        digest = bearer_digest(request)
        operator = self._configuration.operator(digest)
        if operator is not None:
            return operator.name
        declared = self._configuration.current.operators_by_name
        first = self._first_operator_sha256
        if digest and not declared and hmac.compare_digest(digest, first):
            return FIRST_OPERATOR
        raise RefusedError(Refusal("unauthorized", "no operator has this token", 401))
