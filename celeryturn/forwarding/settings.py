"""Settings of an instance that forwards requests by published routes."""

from typing import NamedTuple

from celeryturn.clients.process_limits import ProcessLimits
from celeryturn.decisions.load.cold_share import ColdBounds
from celeryturn.decisions.load.extra_load import ExtraLoadBounds
from celeryturn.settings import Endpoint, Settings


class Grace(NamedTuple):
    """Times of a graceful shutdown.

    :param shutdown_seconds: Time from the signal until the process is killed.
    :param advice_keep_seconds: Maximum time that callers keep the addresses
        they were advised to use.
    """

    shutdown_seconds: float
    advice_keep_seconds: float


class ForwardingSettings(NamedTuple):
    """Settings of one forwarding instance.

    :param instance: Name, availability zone, endpoints and timing of the
        instance.
    :param ready: Endpoint that answers whether the instance is ready.
    :param directory: Endpoint that advises callers of addresses.
    :param metrics: Endpoint that serves metrics and state.
    :param seeds: Peers to contact first; some may no longer exist.
    :param limits: Limits of the process.
    :param extra_load: Bounds on hedges and retries of all instances together.
    :param grace: Times of a graceful shutdown.
    :param limits_zone_spillover: Whether a limited share of the requests may
        leave a zone that is short of capacity; otherwise a target in another
        zone costs a fixed penalty.
    :param cold_bounds: Bounds on the requests to a cold target from all
        instances together; ``None`` for no limit.
    """

    instance: Settings
    ready: Endpoint
    directory: Endpoint
    metrics: Endpoint
    seeds: tuple[Endpoint, ...]
    limits: ProcessLimits
    extra_load: ExtraLoadBounds
    grace: Grace
    cold_bounds: ColdBounds | None = None
    limits_zone_spillover: bool = False
