"""What an instance observes of routes and of their requests."""

from celeryturn.decisions.request.caller_timeouts import CallerTimeouts
from celeryturn.decisions.request.quarantine import Quarantine
from celeryturn.decisions.request.splitting import Splitter
from celeryturn.decisions.targets.latency import LatencyWindow
from celeryturn.decisions.targets.shared_health import Reporter
from celeryturn.decisions.targets.zone_share import ZoneShare
from celeryturn.forwarding.targets.examinations import Examinations
from celeryturn.forwarding.targets.health_exchange import HealthExchange


class RouteStates:
    """What an instance observes of routes and of their requests.

    :param latencies: Observed latencies of targets by route.
    :param splitter: State of the routes that are split over services.
    :param caller_timeouts: Timeouts that callers report, by route.
    :param quarantine: Requests under which targets ended.
    :param examinations: Targets that are examined, since replies were lost.
    :param health: Observations of targets that instances share.
    :param zone_shares: Share of the requests that leave the zone, by service.
    """

    __slots__ = (
        'caller_timeouts',
        'examinations',
        'health',
        'latencies',
        'quarantine',
        'splitter',
        'zone_shares',
    )

    def __init__(self, now_seconds: float, own: Reporter) -> None:
        self.latencies: dict[str, LatencyWindow] = {}
        self.splitter = Splitter()
        self.caller_timeouts: dict[str, CallerTimeouts] = {}
        self.quarantine = Quarantine(now_seconds)
        self.examinations = Examinations()
        self.health = HealthExchange(own, now_seconds)
        self.zone_shares: dict[str, ZoneShare] = {}
