"""What a leg lacks for another attempt."""

from collections.abc import Sequence

from celeryturn.decisions.request.legs import (
    MissingResource,
    ShardedRequest,
    View,
)
from celeryturn.decisions.targets.cold_targets import lacks_cold_share
from celeryturn.decisions.targets.replicas import Replica


def list_untried(
    request: ShardedRequest, position: int, view: View
) -> list[Replica]:
    """List the targets that a leg was not sent to.

    :param request: Request of the leg.
    :param position: Index of the leg.
    :param view: Inputs of the decision.
    :returns: Those that accept requests.
    """
    tried_targets = request.legs[position].tried_targets
    return [
        replica
        for replica in view.serving(request.plan.services[position])
        if replica.entry.target not in tried_targets
    ]


def find_missing(
    request: ShardedRequest,
    position: int,
    replica: Replica | None,
    view: View,
) -> MissingResource:
    """Find out what a leg lacks for another attempt.

    :param request: Request of the leg.
    :param position: Index of the leg.
    :param replica: Target that was chosen for the attempt, if any.
    :param view: Inputs of the decision.
    :returns: What is missing.
    """
    if replica is not None:
        return MissingResource.EXTRA_LOAD
    if view.is_evacuated(request.plan.services[position]):
        return MissingResource.EVACUATED
    is_cold = any(
        lacks_cold_share(untried, view.now_seconds)
        for untried in list_untried(request, position, view)
    )
    return MissingResource.COLD_SHARE if is_cold else MissingResource.TARGET


def record_missing(
    request: ShardedRequest, chosen: Sequence[Replica | None], view: View
) -> None:
    """Record what each leg without a chosen target lacks.

    :param request: Request that begins.
    :param chosen: Target that was chosen for each leg, if any.
    :param view: Inputs of the decision.
    """
    for position, replica in enumerate(chosen):
        if replica is None:
            request.legs[position].missing_resource = find_missing(
                request, position, replica, view
            )
