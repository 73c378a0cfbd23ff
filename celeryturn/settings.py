"""Settings of one instance, with type and semantic checks."""

from collections.abc import Iterator
from typing import NamedTuple

from celeryturn.errors import CeleryturnError, Fault, Kind
from celeryturn.schema import decode
from celeryturn.units import (
    Address,
    Count,
    Name,
    Port,
    PositiveCount,
    Seconds,
)


class Endpoint(NamedTuple):
    """Address and port of a listener.

    :param address: IP address.
    :param port: TCP port.
    """

    address: Address
    port: Port


class Timing(NamedTuple):
    """Intervals and timeouts of one instance.

    :param watch_wait_seconds: How long the service holds a watch open.
    :param list_every_seconds: Interval between reads of the instance
        list in a small fleet.
    :param gossip_every_seconds: Interval between pings of neighbours.
    :param first_peer_wait_seconds: Longest wait for a peer at startup.
    :param advice_keep_seconds: Longest time for which callers keep an
        advised address.
    :param shutdown_grace_seconds: Longest wait for requests in flight.
    :param connect_timeout_seconds: Longest wait for a connection.
    :param peer_idle_seconds: Time without messages after which a link is
        reopened.
    """

    watch_wait_seconds: Seconds = 5.0
    list_every_seconds: Seconds = 5.0
    gossip_every_seconds: Seconds = 1.0
    first_peer_wait_seconds: Seconds = 2.0
    advice_keep_seconds: Seconds = 20.0
    shutdown_grace_seconds: Seconds = 10.0
    connect_timeout_seconds: Seconds = 1.0
    peer_idle_seconds: Seconds = 10.0


class Settings(NamedTuple):
    """All settings of one instance.

    :param instance: Name of the instance, unique in the fleet.
    :param availability_zone: Its availability zone, listed in ``regions``.
    :param regions: Availability zones by region.
    :param callers: Endpoint for callers and operators.
    :param peers: Endpoint for other instances.
    :param configuration: Endpoint of the configuration service.
    :param instances: Endpoint of the list of instances.
    :param neighbour_count: Number of instances that it watches.
    :param timing: Intervals and timeouts.
    :param capacity_per_second: Sub-requests that the machine can send per
        second; zero if unknown.
    """

    instance: Name
    availability_zone: Name
    regions: dict[str, list[Name]]
    callers: Endpoint
    peers: Endpoint
    configuration: Endpoint
    instances: Endpoint
    neighbour_count: PositiveCount = 4
    timing: Timing = Timing()
    capacity_per_second: Count = 0


def parse_settings(raw: object, source: str) -> Settings:
    """Validate parsed settings.

    :param raw: What the YAML parser returned.
    :param source: Where the settings come from, for the error message.
    :returns: The validated settings.
    :raises CeleryturnError: ``invalid_settings`` with every fault.
    """
    decoded = decode(Settings, raw)
    faults = (*decoded.faults, *_semantic_faults(raw))
    if faults or decoded.parsed is None:
        raise CeleryturnError(
            Kind.INVALID_SETTINGS,
            f'{source}: {len(faults)} faults found',
            faults,
        )
    return decoded.parsed


def _semantic_faults(raw: object) -> Iterator[Fault]:
    # Checks the raw input, so that a type fault elsewhere does not hide these.
    if not isinstance(raw, dict):
        return
    regions = raw.get('regions')
    zone = raw.get('availability_zone')
    if isinstance(regions, dict) and isinstance(zone, str):
        known = _known_zones(regions)
        if zone not in known:
            listed = ', '.join(known)
            yield Fault(
                'availability_zone',
                f'must be one of the zones in regions: {listed}',
            )
    if raw.get('callers') is not None and raw['callers'] == raw.get('peers'):
        yield Fault('peers.port', 'must differ from callers.port')


def _known_zones(regions: dict[object, object]) -> list[str]:
    return [
        str(zone)
        for zones in regions.values()
        if isinstance(zones, list)
        for zone in zones
    ]
