"""Run stand-ins in a process: ``python -m standins.serve platform …``."""

import asyncio
import signal
from pathlib import Path
from typing import Final

import msgspec
import yaml

from celeryturn.command_line import run_command_line
from standins.store import StoreStandin
from standins.target import Dataset, Location, TargetStandin
from standins.topology import USERS, build_records, zone_address

ADDRESS: Final = '127.0.0.1'
SNAPSHOT_INTERVAL_SECONDS: Final = 0.5


def platform(port: int, documents: str, instances: str) -> None:
    """Serve the platform's store with the product's own keys.

    :param port: TCP port.
    :param documents: Path of a YAML file with a list of documents.
    :param instances: Path of a YAML file with a list of instances.
    """
    asyncio.run(_serve_platform(port, Path(documents), Path(instances)))


def targets(user: str, service: str, documents: str) -> None:
    """Serve all targets of a service.

    :param user: Name of the user.
    :param service: Name of the service.
    :param documents: Path of a YAML file with a list of documents.
    """
    asyncio.run(_serve_targets(user, service, Path(documents)))


async def _serve_platform(port: int, documents: Path, instances: Path) -> None:
    standin = StoreStandin()
    for document in yaml.safe_load(documents.read_text()):
        key = f'services/{document["service"]}'
        standin.put(key, msgspec.json.encode(document))
    for entry in yaml.safe_load(instances.read_text()):
        key = f'instances/{entry["instance"]}'
        standin.put(key, msgspec.json.encode(entry))
    await standin.server.start(ADDRESS, port)
    await _wait_for_signal()


async def _serve_targets(user: str, service: str, documents: Path) -> None:
    document = next(
        candidate
        for candidate in yaml.safe_load(documents.read_text())
        if candidate['service'] == service
    )
    size = USERS[user].services[service]
    dataset = Dataset(service, build_records(document))
    dataset.has_snapshot_in_text = True
    user_fleet = USERS[user]
    for name, target in document['targets'].items():
        standin = TargetStandin(
            name,
            dataset,
            size.slots,
            size.connections,
            size.connect_seconds,
            Location(
                zone_address(user_fleet, target['availability_zone']),
                2 * user_fleet.zone_latency_seconds,
            ),
        )
        await standin.server.start(ADDRESS, target['port'])
    snapshot_task = asyncio.create_task(_advance_snapshots(dataset))
    await _wait_for_signal()
    snapshot_task.cancel()


async def _advance_snapshots(dataset: Dataset) -> None:
    while True:
        await asyncio.sleep(SNAPSHOT_INTERVAL_SECONDS)
        dataset.newest_snapshot += 1


async def _wait_for_signal() -> None:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    await stop_requested.wait()


if __name__ == '__main__':
    run_command_line({'platform': platform, 'targets': targets}, 'standins')
