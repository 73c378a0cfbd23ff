"""What the decisions on a forwarded request take into account."""

import functools

from celeryturn.decisions.request import legs
from celeryturn.decisions.request.fingerprint import Fingerprint
from celeryturn.decisions.request.pacing import hedge_delay_seconds
from celeryturn.decisions.request.quarantine import (
    find_standing,
    suspect_services,
)
from celeryturn.decisions.request.route_table import Route
from celeryturn.decisions.targets import evacuated_targets
from celeryturn.decisions.targets.zone_share import ZoneShare
from celeryturn.forwarding.request import extra_load_access
from celeryturn.forwarding.shared_state import SharedState, now
from celeryturn.forwarding.targets.cold_targets import serving_replicas
from celeryturn.forwarding.targets.observations import get_expected_latency


def get_zone_share(shared: SharedState, service: str) -> ZoneShare:
    """Return the share of the requests to a service that leave the zone.

    :param shared: Shared state of the instance.
    :param service: Name of the service.
    :returns: Its state, created if it does not exist.
    """
    return shared.route_states.zone_shares.setdefault(service, ZoneShare())


def make_view(
    shared: SharedState, route: Route, plan: legs.Plan, fingerprint: Fingerprint
) -> legs.View:
    """Collect the inputs of the next decision on a request.

    :param shared: Shared state of the instance.
    :param route: Route of the request.
    :param plan: Parameters of the request.
    :param fingerprint: Fingerprint of the request.
    :returns: The inputs.
    """
    now_seconds = now()
    expected_latency = get_expected_latency(shared, route)
    quarantine = shared.route_states.quarantine
    return legs.View(
        now_seconds=now_seconds,
        serving=lambda name: serving_replicas(shared, name),
        expected_latency=expected_latency,
        hedge_delay_seconds=hedge_delay_seconds(
            expected_latency, plan.due_seconds - now_seconds
        ),
        zone=shared.instance.settings.availability_zone,
        random=shared.instance.random,
        spend=lambda name, share: extra_load_access.spend_extra_load(
            shared, name, share
        ),
        is_extra_load_low=lambda name: extra_load_access.is_extra_load_low(
            shared, name
        ),
        standing=find_standing(quarantine, fingerprint),
        suspect_services=suspect_services(quarantine, fingerprint),
        is_evacuated=lambda name: evacuated_targets.is_service_evacuated(
            shared.directory, name
        ),
        zone_share=functools.partial(get_zone_share, shared)
        if shared.settings.limits_zone_spillover
        else None,
    )
