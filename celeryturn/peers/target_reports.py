"""Batches of reports on targets, which are told on all links."""

from collections.abc import Iterable

from celeryturn.decisions.targets.health_outbox import Sourced
from celeryturn.peers.links import enqueue
from celeryturn.peers.messages import TargetReports
from celeryturn.peers.network import Network


def tell_reports(network: Network, batch: Iterable[Sourced]) -> None:
    """Queue reports on every link of neighbours but those they came from.

    :param network: The network.
    :param batch: The reports, each with the peer that told it.
    """
    sourced = tuple(batch)
    for link in network.links:
        if link.is_neighbour:
            reports = tuple(
                report
                for sources, report in sourced
                if link.instance not in sources or not link.instance
            )
            if reports:
                enqueue(link, TargetReports(reports))
