"""State of the exchange of observations of targets with peers."""

from celeryturn.decisions.targets.health_batches import BatchBudget
from celeryturn.decisions.targets.observation_rate import ObservationRate
from celeryturn.decisions.targets.shared_health import Reporter, SharedHealth
from celeryturn.timer import Timer


class HealthExchange:
    """State of the exchange of observations of targets with peers.

    :param shared: Observations that instances share.
    :param budget: Budget of batches to peers.
    :param timer: Judges targets and sends the next batch when it is due.
    :param is_due: Whether the timer is armed.
    :param rate: How often this instance observes its targets itself.
    :param stall_seconds: Time without a response that suggests a stall, by
        service, as of the last request that ended.
    """

    __slots__ = ('budget', 'is_due', 'rate', 'shared', 'stall_seconds', 'timer')

    def __init__(self, own: Reporter, now_seconds: float) -> None:
        self.shared = SharedHealth(own)
        self.budget = BatchBudget(now_seconds)
        self.timer = Timer()
        self.is_due = False
        self.rate = ObservationRate(now_seconds)
        self.stall_seconds: dict[str, float] = {}
