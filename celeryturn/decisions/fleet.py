"""Everything one instance holds about one service, and how it changes."""

from typing import Final, NamedTuple

from celeryturn.decisions.budget import Budget
from celeryturn.decisions.document import (
    Published,
    ServiceDocument,
    Target,
    serving_index,
)
from celeryturn.decisions.latency import LatencyWindow
from celeryturn.decisions.limits import equal_share, set_share, waiting_count
from celeryturn.decisions.planning import SnapshotChoice, choose_snapshot
from celeryturn.decisions.views import (
    TargetView,
    observe_leaving,
    observe_serving,
)

SNAPSHOT_REFRESH_SECONDS: Final = 0.1
SHORTAGE_REFRESH_SECONDS: Final = 0.05
SHORT_SHARE: Final = 1 / 3


class Shortage(NamedTuple):
    """Whether slots were short when that was last looked at.

    :param is_short: Whether they were.
    :param due_seconds: When to look anew.
    """

    is_short: bool = False
    due_seconds: float = 0.0


class ServiceState:
    """State of one service at one instance.

    :param published: The configuration in force.
    :param views: What is believed of each target.
    :param budget: Extra-load budget.
    :param window: Observed latencies.
    :param snapshot: The snapshot that new queries read.
    :param snapshot_due_seconds: When to choose the snapshot anew.
    :param shortage: Whether slots are short.
    """

    __slots__ = (
        'budget',
        'published',
        'shortage',
        'snapshot',
        'snapshot_due_seconds',
        'views',
        'window',
    )

    def __init__(self, published: Published, now_seconds: float) -> None:
        self.published = published
        self.views: dict[str, TargetView] = {}
        self.budget = Budget()
        self.window = LatencyWindow(now_seconds)
        self.snapshot = SnapshotChoice(0, is_guess=True)
        self.snapshot_due_seconds = 0.0
        self.shortage = Shortage()

    @property
    def document(self) -> ServiceDocument:
        """The document in force."""
        return self.published.document


def put_in_force(
    service: ServiceState,
    published: Published,
    live_count: int,
    now_seconds: float,
) -> None:
    """Bring the views of targets in line with a document.

    :param service: State of the service.
    :param published: The adopted document.
    :param live_count: Largest recent count of live instances.
    :param now_seconds: Time of the adoption.
    """
    service.published = published
    service.snapshot_due_seconds = 0
    targets = published.document.targets
    for name in service.views.keys() - targets.keys():
        service.views.pop(name)
    for name, target in targets.items():
        share = equal_share(target.connections, live_count)
        view = service.views.get(name)
        if view is None:
            view = TargetView(target.availability_zone, share, now_seconds)
            service.views[name] = view
        _apply_target(view, target, share, now_seconds)


def set_shares(service: ServiceState, live_count: int) -> None:
    """Share connections among another number of instances.

    :param service: State of the service.
    :param live_count: Largest recent count of live instances.
    """
    for name, target in service.document.targets.items():
        share = equal_share(target.connections, live_count)
        set_share(service.views[name].gate, share)


def current_snapshot(
    service: ServiceState, now_seconds: float
) -> SnapshotChoice:
    """Choose the snapshot for a new query, anew a few times a second.

    :param service: State of the service.
    :param now_seconds: Time of admission.
    :returns: A snapshot that every shard is believed to hold.
    """
    is_due = now_seconds >= service.snapshot_due_seconds
    if is_due or service.snapshot.is_guess:
        service.snapshot = choose_snapshot(
            serving_index(service.document), service.views, now_seconds
        )
        service.snapshot_due_seconds = now_seconds + SNAPSHOT_REFRESH_SECONDS
    return service.snapshot


def is_short(service: ServiceState, now_seconds: float) -> bool:
    """Tell whether the service's targets are short of slots.

    :param service: State of the service.
    :param now_seconds: Time of the question; it is looked at anew only a few
        times a second, since every target has to be.
    :returns: Whether sub-requests are held back at many of them.
    """
    shortage = service.shortage
    if now_seconds >= shortage.due_seconds:
        views = service.views.values()
        crowded_count = sum(waiting_count(view.gate) > 0 for view in views)
        is_found = crowded_count > SHORT_SHARE * len(service.views)
        shortage = Shortage(is_found, now_seconds + SHORTAGE_REFRESH_SECONDS)
        service.shortage = shortage
    return shortage.is_short


def _apply_target(
    view: TargetView, target: Target, share: int, now_seconds: float
) -> None:
    set_share(view.gate, share)
    view.availability_zone = target.availability_zone
    if target.state == 'leaving':
        observe_leaving(view, now_seconds)
    else:
        observe_serving(view, now_seconds)
