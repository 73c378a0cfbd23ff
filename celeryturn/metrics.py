"""Metrics of one instance, in the Prometheus text format."""

from typing import Final

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from celeryturn.decisions.targets.messages import QueryAnswer
from celeryturn.errors import Kind
from celeryturn.traffic import Traffic

LATENCY_BUCKETS_SECONDS: Final = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
)


class Metrics:
    """The metric collectors of one instance.

    :param registry: Registry of all collectors.
    :param latency: Seconds from admission to the answer.
    :param answers: Count of answers by completeness.
    :param sub_requests: Count of sub-requests, needed and sent.
    :param refusals: Count of refusals by kind.
    :param gauges: Gauges by name, set when the metrics are read.
    :param traffic: Messages to peers and calls to the store.
    """

    def __init__(self) -> None:
        self.traffic = Traffic()
        self.registry = Registry()
        self.latency = Histogram(
            'celeryturn_answer_seconds',
            'Seconds from admission to the answer',
            registry=self.registry,
            buckets=list(LATENCY_BUCKETS_SECONDS),
        )
        self.answers = Counter(
            'celeryturn_answers_total', 'Answers', registry=self.registry
        )
        self.sub_requests = Counter(
            'celeryturn_sub_requests_total',
            'Sub-requests needed and sent',
            registry=self.registry,
        )
        self.refusals = Counter(
            'celeryturn_refusals_total',
            'Refusals by kind',
            registry=self.registry,
        )
        self.gauges = {
            name: Gauge(f'celeryturn_{name}', help_text, registry=self.registry)
            for name, help_text in _GAUGES
        }


_GAUGES: Final = (
    ('coverage_share', 'Fraction of the needed shards in the last answer'),
    ('extra_load_tokens', 'Extra sub-requests that can be sent now'),
    ('configuration_version', 'Current version of the configuration'),
    (
        'configuration_age_seconds',
        'Seconds since the configuration was last confirmed as the newest',
    ),
    ('target_in_flight', 'Sub-requests in flight at a target'),
    ('target_waiting', 'Sub-requests that wait for a target'),
    ('target_limit', 'Adaptive concurrency limit of a target'),
    ('members', 'Instances by status'),
    ('client_bytes', 'Bytes held for clients and targets'),
    ('client_limit_bytes', 'Bytes that may be held for them'),
    ('client_connections', 'Open connections of clients, at all ports'),
    ('clients_closed', 'Connections closed since others needed the room'),
    ('replies_dropped', 'Replies of targets dropped, since there was no room'),
)


def count_answer(metrics: Metrics, answer: QueryAnswer) -> None:
    """Count an answer.

    :param metrics: The collectors.
    :param answer: A merged answer.
    """
    labels = {'service': answer.service, 'kind': str(answer.kind)}
    coverage = answer.coverage
    metrics.latency.observe(labels, answer.elapsed_seconds)
    completeness = str(coverage.is_complete).lower()
    metrics.answers.inc({**labels, 'complete': completeness})
    metrics.sub_requests.add(
        {**labels, 'part': 'needed'}, answer.load.needed_count
    )
    metrics.sub_requests.add({**labels, 'part': 'sent'}, answer.load.sent_count)
    covered_fraction = len(coverage.included) / answer.load.needed_count
    metrics.gauges['coverage_share'].set(labels, covered_fraction)


def count_refusal(metrics: Metrics, kind: Kind) -> None:
    """Count a refusal.

    :param metrics: The collectors.
    :param kind: Kind of the refusal.
    """
    metrics.refusals.inc({'kind': str(kind)})


def set_gauge(
    metrics: Metrics, name: str, labels: dict[str, str], reading: float
) -> None:
    """Set a gauge.

    :param metrics: The collectors.
    :param name: Name of the gauge without its prefix.
    :param labels: Labels of the time series.
    :param reading: The new value.
    """
    metrics.gauges[name].set(labels, reading)


def render_text(metrics: Metrics, accept_header: str) -> tuple[bytes, str]:
    """Render all collectors.

    :param metrics: The collectors.
    :param accept_header: The HTTP ``Accept`` header of the request.
    :returns: The rendered metrics and their content type.
    """
    rendered, headers = render(metrics.registry, [accept_header])
    return rendered, headers['Content-Type']
