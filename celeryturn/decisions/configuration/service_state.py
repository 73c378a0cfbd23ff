"""State that one instance holds about one service, and its updates."""

from typing import Final, NamedTuple

from celeryturn.decisions.configuration.document import (
    PublishedDocument,
    ServiceDocument,
    Target,
    serving_index,
)
from celeryturn.decisions.load.budget import Budget
from celeryturn.decisions.load.limits import (
    equal_share,
    set_share,
    waiting_count,
)
from celeryturn.decisions.request.planning import (
    SnapshotChoice,
    choose_snapshot,
)
from celeryturn.decisions.targets.latency import LatencyWindow
from celeryturn.decisions.targets.views import (
    TargetView,
    observe_leaving,
    observe_serving,
)

SNAPSHOT_REFRESH_SECONDS: Final = 0.1
SHORTAGE_REFRESH_SECONDS: Final = 0.05
SHORTAGE_TARGET_RATIO: Final = 1 / 3


class SlotShortage(NamedTuple):
    """Result of the last check for a shortage of slots.

    :param is_short: Whether slots were short.
    :param due_seconds: Time of the next check.
    """

    is_short: bool = False
    due_seconds: float = 0.0


class ServiceState:
    """State of one service at one instance.

    :param published: The current configuration document.
    :param views: Views of the targets, by name.
    :param budget: Extra-load budget.
    :param window: Observed latencies.
    :param snapshot: The snapshot that new queries read.
    :param snapshot_due_seconds: Time at which the snapshot is chosen again.
    :param shortage: Result of the last check for a shortage of slots.
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

    def __init__(
        self, published: PublishedDocument, now_seconds: float
    ) -> None:
        self.published = published
        self.views: dict[str, TargetView] = {}
        self.budget = Budget()
        self.window = LatencyWindow(now_seconds)
        self.snapshot = SnapshotChoice(0, is_guess=True)
        self.snapshot_due_seconds = 0.0
        self.shortage = SlotShortage()

    @property
    def document(self) -> ServiceDocument:
        """The current configuration document."""
        return self.published.document


def apply_document(
    service: ServiceState,
    published: PublishedDocument,
    live_count: int,
    now_seconds: float,
) -> None:
    """Make a document current and update the views of targets to match.

    Views of targets that the document does not name are removed.

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
        _update_view(view, target, share, now_seconds)


def set_shares(service: ServiceState, live_count: int) -> None:
    """Recompute connection shares for a new number of instances.

    :param service: State of the service.
    :param live_count: Largest recent count of live instances.
    """
    for name, target in service.document.targets.items():
        share = equal_share(target.connections, live_count)
        set_share(service.views[name].gate, share)


def current_snapshot(
    service: ServiceState, now_seconds: float
) -> SnapshotChoice:
    """Return the snapshot for a new query.

    It is chosen again every :data:`SNAPSHOT_REFRESH_SECONDS`, and for every
    query while the choice is a guess.

    :param service: State of the service.
    :param now_seconds: Time of admission.
    :returns: A snapshot that every shard is expected to hold, or a guess if
        there are no recent reports.
    """
    is_due = now_seconds >= service.snapshot_due_seconds
    if is_due or service.snapshot.is_guess:
        service.snapshot = choose_snapshot(
            serving_index(service.document), service.views, now_seconds
        )
        service.snapshot_due_seconds = now_seconds + SNAPSHOT_REFRESH_SECONDS
    return service.snapshot


def has_slot_shortage(service: ServiceState, now_seconds: float) -> bool:
    """Check whether the targets of a service are short of slots.

    The check visits every target, so its result is reused for
    :data:`SHORTAGE_REFRESH_SECONDS`.

    :param service: State of the service.
    :param now_seconds: Current time.
    :returns: Whether sub-requests are waiting at more than
        :data:`SHORTAGE_TARGET_RATIO` of the targets.
    """
    shortage = service.shortage
    if now_seconds >= shortage.due_seconds:
        views = service.views.values()
        backlogged_count = sum(waiting_count(view.gate) > 0 for view in views)
        is_short = backlogged_count > SHORTAGE_TARGET_RATIO * len(service.views)
        shortage = SlotShortage(
            is_short, now_seconds + SHORTAGE_REFRESH_SECONDS
        )
        service.shortage = shortage
    return shortage.is_short


def _update_view(
    view: TargetView, target: Target, share: int, now_seconds: float
) -> None:
    set_share(view.gate, share)
    view.availability_zone = target.availability_zone
    if target.state == 'leaving':
        observe_leaving(view, now_seconds)
    else:
        observe_serving(view, now_seconds)
