"""Assembly of the edge from its checks, its responses and its calls about jobs."""

from caperridge.gateway.answer_limits import AnswerLimits
from caperridge.gateway.caller_checks import CallerChecks
from caperridge.gateway.configuration import ConfigurationInForce
from caperridge.gateway.credentials import CredentialFilter
from caperridge.gateway.dialect import Dialect
from caperridge.gateway.edge import Edge
from caperridge.gateway.forwarding import Forwarder
from caperridge.gateway.job_calls import JobCalls
from caperridge.gateway.jobs.edge import JobsEdge
from caperridge.gateway.metrics import GatewayMetrics
from caperridge.gateway.quotas import QuotaKeeper
from caperridge.gateway.responses import Responses


def make_edge(
    configuration: ConfigurationInForce,
    forwarder: Forwarder,
    jobs: JobsEdge,
    quotas: QuotaKeeper,
    dialect: Dialect,
    metrics: GatewayMetrics,
    limits: AnswerLimits,
) -> Edge:
    """Return the edge of an instance."""
    checks = CallerChecks(configuration, quotas)
    credentials = CredentialFilter(dialect.headers.team)
    responses = Responses(dialect, metrics)
    return Edge(
        configuration,
        forwarder,
        JobCalls(jobs, checks, credentials, dialect, responses),
        checks,
        credentials,
        dialect,
        responses,
        metrics,
        limits,
    )
