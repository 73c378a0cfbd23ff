"""Callbacks that the parts of a forwarding instance register."""

from collections.abc import Awaitable, Callable
from typing import TypeAlias

from celeryturn.decisions.request.quarantine import TargetEnd
from celeryturn.decisions.request.route_table import RouteTable
from celeryturn.decisions.targets.departures import TargetIncarnation
from celeryturn.decisions.targets.evacuations import ZoneChange
from celeryturn.decisions.targets.health_outbox import Sourced
from celeryturn.decisions.targets.stated_rates import StatedRate
from celeryturn.http.messages import HttpReply, HttpRequest
from celeryturn.peers.handover_messages import HandoverTerms
from celeryturn.peers.handovers import HandoverDeclinedError

OnAdopted: TypeAlias = Callable[[RouteTable], None]
OnTargetLeaving: TypeAlias = Callable[[TargetIncarnation], None]
OnZonesChanged: TypeAlias = Callable[[tuple[ZoneChange, ...]], None]
OnRatesStated: TypeAlias = Callable[[tuple[StatedRate, ...]], None]
OnTargetsReported: TypeAlias = Callable[[tuple[Sourced, ...]], None]
OnEndsReported: TypeAlias = Callable[[tuple[TargetEnd, ...]], None]

HandOver: TypeAlias = Callable[
    [HttpRequest, HandoverTerms], Awaitable[HttpReply]
]


async def _decline(_request: HttpRequest, _terms: HandoverTerms) -> HttpReply:
    raise HandoverDeclinedError


class Callbacks:
    """Callbacks that parts of an instance register.

    :param adopted: Receive every table that is adopted.
    :param target_leaving: Receive every target whose reply announces its
        departure.
    :param rates_stated: Receive what is new of the request rates that targets
        state.
    :param ends_reported: Receive what is new of targets that ended while they
        ran requests.
    :param zones_changed: Receive what the store tells that is new of the
        evacuations of zones.
    :param targets_reported: Receive batches of reports on targets.
    :param progressed: Called when this instance knows more of the store.
    :param hand_over: Lets a peer serve a request.
    """

    __slots__ = (
        'adopted',
        'ends_reported',
        'hand_over',
        'progressed',
        'rates_stated',
        'target_leaving',
        'targets_reported',
        'zones_changed',
    )

    def __init__(self) -> None:
        self.adopted: list[OnAdopted] = []
        self.target_leaving: list[OnTargetLeaving] = []
        self.rates_stated: list[OnRatesStated] = []
        self.ends_reported: list[OnEndsReported] = []
        self.zones_changed: list[OnZonesChanged] = []
        self.targets_reported: list[OnTargetsReported] = []
        self.progressed: list[Callable[[], None]] = []
        self.hand_over: HandOver = _decline
