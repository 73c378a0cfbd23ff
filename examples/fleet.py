"""Start the whole fleet of one user on loopback, as separate processes."""

import contextlib
import os
import random
import shutil
import signal
import socket
import subprocess  # noqa: S404
import sys
import tempfile
import time
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any, Final, NamedTuple

import yaml

from standins.topology import (
    USERS,
    User,
    build_document,
    target_names,
    zone_address,
)

ADDRESS: Final = '127.0.0.1'
INSTANCES_PER_ZONE: Final = 3
PORT_COUNT: Final = 150
PORT_RANGE: Final = (15_000, 32_000)
ANY_ADDRESS: Final = '0.0.0.0'  # noqa: S104
ADVICE_KEEP_SECONDS: Final = 1.0
READY_TIMEOUT_SECONDS: Final = 30.0
STOP_TIMEOUT_SECONDS: Final = 20.0
POLL_INTERVAL_SECONDS: Final = 0.05


class Ports(NamedTuple):
    """TCP ports of one instance.

    :param callers: Port for callers.
    :param peers: Port for peers.
    """

    callers: int
    peers: int


class Fleet:
    """Processes of one user's fleet.

    :param folder: Folder for settings, documents and logs.
    :param advice_keep_seconds: Maximum time callers keep an address.
    :param daemon_module: Module that runs as an instance.
    :param platform_port: TCP port of the platform's stand-in.
    :param documents: Documents as first published.
    :param instance_addresses: Address of each instance for callers, by name,
        as ``ADDRESS:PORT``.
    :param instances: Processes of the instances, by name.
    :param standins: Processes of the stand-ins.
    """

    def __init__(
        self, folder: Path, advice_keep_seconds: float, daemon_module: str
    ) -> None:
        self.folder = folder
        self.daemon_module = daemon_module
        self.platform_port = 0
        self.documents: list[dict[str, Any]] = []
        self.advice_keep_seconds = advice_keep_seconds
        self.instance_addresses: dict[str, str] = {}
        self.instances: dict[str, subprocess.Popen[bytes]] = {}
        self.standins: list[subprocess.Popen[bytes]] = []


def start_fleet(
    user_name: str,
    advice_keep_seconds: float = ADVICE_KEEP_SECONDS,
    daemon_module: str = 'celeryturn.daemon',
) -> Fleet:
    """Start the stand-ins and nine instances.

    :param user_name: Name of the user whose services the fleet has.
    :param advice_keep_seconds: Maximum time callers keep an address.
    :param daemon_module: Module that runs as an instance.
    :returns: The fleet; its instances may not be ready yet.
    """
    user = USERS[user_name]
    folder = Path(tempfile.mkdtemp(prefix='celeryturn-'))
    fleet = Fleet(folder, advice_keep_seconds, daemon_module)
    free_ports = iter(find_free_ports(PORT_COUNT))
    ports = _instance_ports(user, free_ports)
    fleet.platform_port = next(free_ports)
    fleet.documents = _build_documents(user, free_ports)
    documents = _write_yaml(folder / 'documents.yaml', fleet.documents)
    _start_platform(fleet, user, ports, documents)
    _start_targets(fleet, user_name, documents)
    _start_instances(fleet, user, ports)
    return fleet


def wait_until_ready(fleet: Fleet) -> None:
    """Wait until every instance is ready.

    :param fleet: The fleet.
    :raises TimeoutError: When an instance is not ready in time.
    """
    deadline = time.monotonic() + READY_TIMEOUT_SECONDS
    for name in fleet.instances:
        log = fleet.folder / f'{name}.log'
        while b'CT101' not in log.read_bytes():
            if time.monotonic() > deadline:
                raise TimeoutError(f'{name} is not ready in time; see {log}')
            time.sleep(POLL_INTERVAL_SECONDS)


def stop_fleet(fleet: Fleet) -> bool:
    """Shut down the instances gracefully, then stop the stand-ins.

    :param fleet: The fleet.
    :returns: Whether every instance exited by itself with code 0. If not,
        the folder with the logs is kept.
    """
    for process in fleet.instances.values():
        process.send_signal(signal.SIGTERM)
    exit_codes = [
        _wait_for_exit(instance) for instance in fleet.instances.values()
    ]
    for standin in fleet.standins:
        standin.terminate()
        _wait_for_exit(standin)
    has_succeeded = not any(exit_codes)
    if has_succeeded:
        shutil.rmtree(fleet.folder)
    return has_succeeded


def find_free_ports(count: int) -> list[int]:
    """Find TCP ports that are currently free on every address.

    They lie below the range that the system uses for outgoing connections.
    All stay bound until the last one is found, so that no port is returned
    twice.

    :param count: Number of ports.
    :returns: Port numbers.
    """
    with contextlib.ExitStack() as open_sockets:
        ports: list[int] = []
        while len(ports) < count:
            probe = open_sockets.enter_context(socket.socket())
            with contextlib.suppress(OSError):
                probe.bind((ANY_ADDRESS, random.randrange(*PORT_RANGE)))
                ports.append(probe.getsockname()[1])
        return ports


def _instance_ports(user: User, free_ports: Iterator[int]) -> dict[str, Ports]:
    return {
        f'entry-{zone}-{number}': Ports(next(free_ports), next(free_ports))
        for zone in user.zones
        for number in range(INSTANCES_PER_ZONE)
    }


def _start_platform(
    fleet: Fleet,
    user: User,
    ports: Mapping[str, Ports],
    documents: Path,
) -> None:
    entries = [
        _instance_entry(name, name_ports, user)
        for name, name_ports in ports.items()
    ]
    instances = _write_yaml(fleet.folder / 'instances.yaml', entries)
    module = ('standins.serve', 'platform', str(fleet.platform_port))
    fleet.standins.append(
        _start_process(
            fleet, 'platform', module, (str(documents), str(instances))
        )
    )


def _start_targets(fleet: Fleet, user_name: str, documents: Path) -> None:
    for service in USERS[user_name].services:
        module = ('standins.serve', 'targets', user_name, service)
        fleet.standins.append(
            _start_process(fleet, service, module, (str(documents),))
        )


def _start_instances(
    fleet: Fleet, user: User, ports: Mapping[str, Ports]
) -> None:
    for name, name_ports in ports.items():
        settings = _build_settings(user, name, name_ports, fleet.platform_port)
        keep_seconds = fleet.advice_keep_seconds
        settings['timing'] = {'advice_keep_seconds': keep_seconds}
        _start_instance(fleet, name, settings)


def _start_instance(
    fleet: Fleet, name: str, settings: Mapping[str, Any]
) -> None:
    settings_file = _write_yaml(fleet.folder / f'{name}.yaml', settings)
    callers = settings['callers']
    fleet.instance_addresses[name] = f'{callers["address"]}:{callers["port"]}'
    fleet.instances[name] = _start_process(
        fleet,
        name,
        (fleet.daemon_module,),
        ('--settings', str(settings_file)),
    )


def _build_documents(
    user: User, free_ports: Iterator[int]
) -> list[dict[str, Any]]:
    documents = []
    for service, shape in user.services.items():
        names = target_names(service, shape)
        ports = {name: next(free_ports) for name in names}
        documents.append(build_document(service, user, ports))
    return documents


def _instance_entry(name: str, ports: Ports, user: User) -> dict[str, Any]:
    zone = _instance_zone(name, user)
    return {
        'instance': name,
        'address': zone_address(user, zone),
        'callers_port': ports.callers,
        'peers_port': ports.peers,
        'availability_zone': zone,
        'state': 'live',
    }


def _instance_zone(name: str, user: User) -> str:
    return next(zone for zone in user.zones if f'-{zone}-' in name)


def _build_settings(
    user: User, name: str, ports: Ports, platform_port: int
) -> dict[str, Any]:
    platform = {'address': ADDRESS, 'port': platform_port}
    zone = _instance_zone(name, user)
    address = zone_address(user, zone)
    return {
        'instance': name,
        'availability_zone': zone,
        'regions': {user.region: list(user.zones)},
        'callers': {'address': address, 'port': ports.callers},
        'peers': {'address': address, 'port': ports.peers},
        'configuration': dict(platform),
        'instances': dict(platform),
    }


def _write_yaml(path: Path, document: object) -> Path:
    path.write_text(yaml.safe_dump(document, sort_keys=False))
    return path


def _start_process(
    fleet: Fleet, name: str, module: tuple[str, ...], arguments: tuple[str, ...]
) -> subprocess.Popen[bytes]:
    log = (fleet.folder / f'{name}.log').open('wb')
    with log:
        return subprocess.Popen(  # noqa: S603
            (sys.executable, '-m', *module, *arguments),
            stdout=log,
            stderr=subprocess.STDOUT,
            env={**os.environ, 'PYTHONUNBUFFERED': '1'},
        )


def _wait_for_exit(process: subprocess.Popen[bytes]) -> int:
    try:
        return process.wait(STOP_TIMEOUT_SECONDS)
    except subprocess.TimeoutExpired:
        process.kill()
        return process.wait() or 1
