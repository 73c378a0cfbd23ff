"""Run stand-ins as a process: ``python -m standins.serve platform …``."""

import asyncio
import signal
from pathlib import Path
from typing import Final

import msgspec
import yaml

from celeryturn.command_line import run_command_line
from standins.store import StoreStandin
from standins.target import Dataset, Place, TargetStandin
from standins.topology import USERS, build_records, zone_address

ADDRESS: Final = '127.0.0.1'
SNAPSHOT_SECONDS: Final = 0.5


def platform(port: int, documents: str, instances: str) -> None:
    """Serve the platform's store with the product's own keys.

    :param port: Its port.
    :param documents: YAML file with a list of documents.
    :param instances: YAML file with the list of instances.
    """
    asyncio.run(_platform(port, Path(documents), Path(instances)))


def targets(user: str, service: str, documents: str) -> None:
    """Serve all targets of a service.

    :param user: Name of the user.
    :param service: Name of the service.
    :param documents: YAML file with a list of documents.
    """
    asyncio.run(_targets(user, service, Path(documents)))


async def _platform(port: int, documents: Path, instances: Path) -> None:
    standin = StoreStandin()
    for document in yaml.safe_load(documents.read_text()):
        key = f'services/{document["service"]}'
        standin.put(key, msgspec.json.encode(document))
    for entry in yaml.safe_load(instances.read_text()):
        key = f'instances/{entry["instance"]}'
        standin.put(key, msgspec.json.encode(entry))
    await standin.server.start(ADDRESS, port)
    await _until_signal()


async def _targets(user: str, service: str, documents: Path) -> None:
    document = next(
        known
        for known in yaml.safe_load(documents.read_text())
        if known['service'] == service
    )
    shape = USERS[user].services[service]
    dataset = Dataset(service, build_records(document))
    dataset.is_stamped = True
    fleet = USERS[user]
    for name, target in document['targets'].items():
        standin = TargetStandin(
            name,
            dataset,
            shape.slots,
            shape.connections,
            shape.connect_seconds,
            Place(
                zone_address(fleet, target['availability_zone']),
                2 * fleet.zone_seconds,
            ),
        )
        await standin.server.start(ADDRESS, target['port'])
    moving = asyncio.create_task(_move_snapshots(dataset))
    await _until_signal()
    moving.cancel()


async def _move_snapshots(dataset: Dataset) -> None:
    while True:
        await asyncio.sleep(SNAPSHOT_SECONDS)
        dataset.newest_snapshot += 1


async def _until_signal() -> None:
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended.set)
    await ended.wait()


if __name__ == '__main__':
    run_command_line({'platform': platform, 'targets': targets}, 'standins')
