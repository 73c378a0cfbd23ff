"""Settings of one instance: a YAML file, validated by type and meaning."""

from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import yaml

from celeryturn.errors import CeleryturnError, Fault, Kind
from celeryturn.schema import decode
from celeryturn.units import Address, Name, Port, PositiveCount, Seconds


class Endpoint(NamedTuple):
    """Where something listens.

    :param address: IP address.
    :param port: TCP port.
    """

    address: Address
    port: Port


class Timing(NamedTuple):
    """Times of one instance.

    :param watch_wait_seconds: How long a watch waits at the service.
    :param list_every_seconds: How often the instance list is read.
    :param gossip_every_seconds: How often neighbours are asked.
    :param first_peer_wait_seconds: How long a start waits for a peer.
    :param advice_keep_seconds: Longest time callers keep an address.
    :param shutdown_grace_seconds: Longest wait for requests in flight.
    :param connect_timeout_seconds: Longest wait for a connection.
    :param peer_idle_seconds: Silence after which a link is opened anew.
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

    :param instance: Its name, unique in the fleet.
    :param availability_zone: Where it stands; one of the regions'.
    :param regions: Availability zones by region.
    :param callers: Where callers and operators connect.
    :param peers: Where other instances connect.
    :param configuration: The configuration service.
    :param instances: The list of instances.
    :param neighbour_count: How many instances it watches.
    :param timing: Times.
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


def load_settings(path: str) -> Settings:
    """Read and validate a settings file.

    :param path: The file.
    :returns: Its settings.
    :raises CeleryturnError: ``invalid_settings`` with every fault.
    """
    return parse_settings(read_yaml(path), path)


def parse_settings(raw: object, source: str) -> Settings:
    """Validate settings that were read.

    :param raw: What the YAML reader returned.
    :param source: Where they come from, for the error.
    :returns: The settings.
    :raises CeleryturnError: ``invalid_settings`` with every fault.
    """
    decoded = decode(Settings, raw)
    faults = (*decoded.faults, *_semantic_faults(raw))
    if faults or decoded.parsed is None:
        raise CeleryturnError(
            Kind.INVALID_SETTINGS, f'{source}: {len(faults)} faults', faults
        )
    return decoded.parsed


def read_yaml(path: str) -> object:
    """Read a YAML file, of which JSON is a part.

    :param path: The file.
    :returns: Mappings, lists and scalars.
    :raises CeleryturnError: ``invalid_settings`` when it cannot be read.
    """
    try:
        return yaml.safe_load(Path(path).read_text(encoding='utf-8'))
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        raise CeleryturnError(
            Kind.INVALID_SETTINGS, f'{path}: cannot be read: {error}'
        ) from error


def _semantic_faults(raw: object) -> Iterator[Fault]:
    # Works on what was read, so that a fault of type elsewhere hides none.
    if not isinstance(raw, dict):
        return
    regions = raw.get('regions')
    zone = raw.get('availability_zone')
    if isinstance(regions, dict) and isinstance(zone, str):
        known = _known_zones(regions)
        if zone not in known:
            listed = ', '.join(known)
            yield Fault('availability_zone', f'one of regions: {listed}')
    if raw.get('callers') is not None and raw['callers'] == raw.get('peers'):
        yield Fault('peers.port', 'another port than callers.port')


def _known_zones(regions: dict[object, object]) -> list[str]:
    return [
        str(zone)
        for zones in regions.values()
        if isinstance(zones, list)
        for zone in zones
    ]
