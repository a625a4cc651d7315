"""The log line of an attempt that failed, the same for online and for batch."""

from caperridge.log import logger
from caperridge.targets.engine import Attempt
from caperridge.targets.outcomes import AttemptError

log = logger(__name__)


def log_failure(
    attempt: Attempt, target: str, error: AttemptError, job: str = ""
) -> None:
    """Log what became of ``attempt``.

    Args:
        attempt: that failed.
        target: where.
        error: how.
        job: it belongs to; empty for an online request.
    """
    log.info(
        "attempt failed",
        request=attempt.request,
        attempt=attempt.attempt,
        target=target,
        job=job,
        kind=type(error).__name__,
        why=error.reason,
        at=attempt.resume_from,
        first_event_limit_s=attempt.first_event_s,
        between_events_limit_s=attempt.between_events_s,
    )
