"""Refusals: the one JSON error that callers and operators get."""

from typing import Any

from caperridge.records import Record

NOT_RUN = "not_run"
UNKNOWN = "unknown"
RAN = "ran"


class Refusal(Record):
    """Why something was not answered.

    Attributes:
        code: short and stable, for programs, e.g. ``no_target``.
        reason: a sentence for a person.
        run: ``not_run``, ``unknown`` or ``ran``: what happened at a target.
        status: of the HTTP answer.
        retry_after_s: when it makes sense to ask again; 0 if it does not.
        request_id: for ``caperridge explain``.
        findings: what is wrong in the input, as maps.
    """

    __slots__ = (
        "code",
        "findings",
        "reason",
        "request_id",
        "retry_after_s",
        "run",
        "status",
    )

    def __init__(
        self,
        code: str,
        reason: str,
        status: int,
        run: str = NOT_RUN,
        retry_after_s: float = 0.0,
        request_id: str = "",
        findings: list[Any] | None = None,
    ) -> None:
        self.code = code
        self.reason = reason
        self.status = status
        self.run = run
        self.retry_after_s = retry_after_s
        self.request_id = request_id
        self.findings = findings or []

    def body(self) -> dict[str, Any]:
        """Return the JSON body, in the shape the OpenAI clients expect."""
        error = {
            "message": self.reason,
            "type": "refusal",
            "code": self.code,
            "run": self.run,
            "request_id": self.request_id,
        }
        if self.findings:
            error["findings"] = [finding.to_map() for finding in self.findings]
        return {"error": error}

    def headers(self) -> dict[str, str]:
        """Return the headers of the HTTP answer."""
        headers = {"X-Request-Id": self.request_id} if self.request_id else {}
        if self.retry_after_s > 0:
            # Whole seconds, rounded up: the header's grammar knows no fractions.
            headers["Retry-After"] = str(int(-(-self.retry_after_s // 1)))
        return headers


class RefusedError(Exception):
    """Raised on the way to the HTTP border, which answers with the refusal."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.reason)
        self.refusal = refusal
