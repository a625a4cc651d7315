"""Refusals: the JSON error response for callers and operators."""

from typing import Any

from caperridge.records import Record

NOT_RUN = "not_run"
UNKNOWN = "unknown"
RAN = "ran"


class Refusal(Record):
    """Reason why a request was refused.

    Attributes:
        code: short, stable and machine-readable, e.g. ``no_target``.
        reason: human-readable sentence.
        run: whether the request ran at a target: ``not_run``, ``unknown`` or ``ran``.
        status: status of the HTTP response.
        retry_after_s: delay in seconds before a retry makes sense; 0 if none does.
        request_id: id to pass to ``caperridge explain``.
        findings: validation errors of the input.
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
        """Return the JSON body, in the format that OpenAI clients expect."""
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
        """Return the headers of the HTTP response."""
        headers = {"X-Request-Id": self.request_id} if self.request_id else {}
        if self.retry_after_s > 0:
            # Rounded up, as the header allows whole seconds only.
            headers["Retry-After"] = str(int(-(-self.retry_after_s // 1)))
        return headers


class RefusedError(Exception):
    """Carries a refusal to the HTTP layer, which responds with it."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.reason)
        self.refusal = refusal
