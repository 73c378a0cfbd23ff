"""Settings of an instance that serves published routes."""

from typing import NamedTuple

from celeryturn.decisions.extra_load import ExtraLoadBounds
from celeryturn.settings import Endpoint, Settings


class Grace(NamedTuple):
    """Times of a graceful shutdown.

    :param shutdown_seconds: From the signal until the process is killed.
    :param advice_keep_seconds: Longest time callers keep advised addresses.
    """

    shutdown_seconds: float
    advice_keep_seconds: float


class ForwardingSettings(NamedTuple):
    """Settings of one instance and of what surrounds it.

    :param instance: Name, places and times of the instance.
    :param ready: Where readiness is asked for.
    :param directory: Where callers ask for addresses.
    :param metrics: Where metrics are read.
    :param seeds: Peers to begin with; some may be gone.
    :param max_connection_count: Callers' connections that descriptors allow.
    :param extra_load: Bounds on hedges and retries, for all instances.
    :param grace: Times of a graceful shutdown.
    """

    instance: Settings
    ready: Endpoint
    directory: Endpoint
    metrics: Endpoint
    seeds: tuple[Endpoint, ...]
    max_connection_count: int
    extra_load: ExtraLoadBounds
    grace: Grace
