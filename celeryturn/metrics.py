"""Metrics of one instance, in the usual text format."""

from typing import Final

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from celeryturn.decisions.messages import QueryAnswer
from celeryturn.errors import Kind

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
    """The collectors of one instance.

    :param registry: Holds them all.
    :param latency: Seconds from admission to the answer.
    :param answers: Answers by completeness.
    :param sub_requests: Sub-requests, needed and sent.
    :param refusals: Refusals by kind.
    :param gauges: Gauges, set when they are read.
    """

    def __init__(self) -> None:
        self.registry = Registry()
        self.latency = Histogram(
            'celeryturn_answer_seconds',
            'From admission to the answer',
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
    ('coverage_share', 'Share of shards in the last answer'),
    ('extra_load_tokens', 'Extra sub-requests that may be sent now'),
    ('configuration_version', 'Version in force'),
    ('configuration_age_seconds', 'Since the newest was last confirmed'),
    ('target_in_flight', 'Sub-requests under way at a target'),
    ('target_waiting', 'Sub-requests held back for a target'),
    ('target_limit', 'Adapted concurrency of a target'),
    ('members', 'Instances by status'),
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
    :param kind: Its kind.
    """
    metrics.refusals.inc({'kind': str(kind)})


def set_gauge(
    metrics: Metrics, name: str, labels: dict[str, str], reading: float
) -> None:
    """Set a gauge.

    :param metrics: The collectors.
    :param name: Name of the gauge without its prefix.
    :param labels: Labels.
    :param reading: What to set it to.
    """
    metrics.gauges[name].set(labels, reading)


def render_text(metrics: Metrics, accept_header: str) -> tuple[bytes, str]:
    """Render all collectors.

    :param metrics: The collectors.
    :param accept_header: What the reader accepts, an HTTP ``Accept`` header.
    :returns: The text and its content type.
    """
    rendered, headers = render(metrics.registry, [accept_header])
    return rendered, headers['Content-Type']
