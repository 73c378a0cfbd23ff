"""Instances of the program, started with the command of the deploy file."""

import os
import shlex
import signal
import socket
import subprocess
import tomllib
from pathlib import Path
from typing import Final, NamedTuple

ADDRESS: Final = '127.0.0.1'
ROOT: Final = Path(__file__).resolve().parents[2]
KEPT_VARIABLES: Final = ('PATH', 'HOME', 'JAVA_HOME', 'LANG')
REGION: Final = 'colombo'
ZONES: Final = ('kollu', 'dehi', 'rajag')
PORT_COUNT: Final = 6
# Figures of the deployment redda-turn, as its processes get them.
_FIXED_SETTINGS: Final = """Role=entry
MachineClass=front
Serves=front,control,directory
Ip=127.0.0.1
Region=colombo
Zones.kollu=colombo
Zones.dehi=colombo
Zones.rajag=colombo
Bootstrap=true
FaultCounted=false
Limits.CpuShare=0.537
Limits.Cores=2
Limits.MemoryMb=300
Limits.MaxFds=4100
Limits.LinkMbps=1000.0
Limits.DiskMb=0
Discovery=platform
Entry=directory
BeatIntervalMs=1200
Contracts=base,drain,config,cost,retry,recover,scatter,platform
FaultTolerance.Machines=1
FaultTolerance.Zones=0
FaultTolerance.Regions=0
Bounds.SeedLagS=3
Bounds.AddrReuseS=2
Bounds.StableWindowMs=4000
Bounds.AckMs=5000
Bounds.CatchUpS=4
Bounds.DrainMs=3000
Bounds.GraceS=6
Bounds.LossSlackMs=200
Bounds.ConfigApplyMs=3000
Bounds.RevertSlackMs=250
Bounds.MaxStretchMs=12000
Bounds.RetryBudgetRatio=0.2
Bounds.BudgetWindowS=10
Bounds.RetryBudgetSlack=58
Bounds.RecoveryS=12
Bounds.ttl_max_s=5
platform.form=read
platform.WritesPerS=400
platform.ReadsPerS=2000
platform.HistoryS=20
platform.ValueBytes=1048576
platform.MinTtlMs=1000
"""


class Ports(NamedTuple):
    """TCP ports of one instance.

    :param front: For clients.
    :param ready: For the platform's readiness check.
    :param control: For other instances.
    :param directory: For clients that ask where to connect.
    :param internal: First of two ports that are free for the project's use.
    :param last_internal: The other one.
    """

    front: int
    ready: int
    control: int
    directory: int
    internal: int
    last_internal: int


def find_ports() -> Ports:
    """Find free ports for one instance.

    :returns: The ports.
    """
    sockets = [socket.socket() for _ in range(PORT_COUNT)]
    for opened in sockets:
        opened.bind((ADDRESS, 0))
    ports = [bound.getsockname()[1] for bound in sockets]
    for unused in sockets:
        unused.close()
    return Ports(*ports)


class Instance:
    """One process of the program, which is restarted by hand only.

    :param ports: Its TCP ports.
    :param zone: Its zone.
    """

    def __init__(self, number: int, folder: Path) -> None:
        self.ports = find_ports()
        self.zone = ZONES[number % len(ZONES)]
        self._name = f'front-{self.zone}-{number}'
        self._folder = folder
        self._process: subprocess.Popen[bytes] | None = None

    def start(self, store_port: int, seeds: list[int]) -> None:
        """Write the settings file and start the process.

        :param store_port: TCP port of the platform's store.
        :param seeds: Control ports of up to three instances.
        """
        settings_path = self._folder / f'{self._name}.conf'
        settings_path.write_text(self._describe(store_port, seeds))
        environment = {
            name: os.environ[name]
            for name in KEPT_VARIABLES
            if name in os.environ
        }
        environment['CELERYTURN_BOOT'] = str(settings_path)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        log_path = self._folder / f'{self._name}.log'
        with log_path.open('ab') as log_file:
            self._process = subprocess.Popen(
                _read_command(),
                cwd=ROOT,
                env=environment,
                stdout=log_file,
                stderr=log_file,
            )

    @property
    def process_id(self) -> int:
        """Id of the process."""
        assert self._process is not None
        return self._process.pid

    @property
    def exit_code(self) -> int | None:
        """Exit code; ``None`` while the process runs."""
        assert self._process is not None
        return self._process.poll()

    def terminate(self) -> None:
        """Send SIGTERM."""
        assert self._process is not None
        self._process.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """Send SIGKILL and wait for the end."""
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    def _describe(self, store_port: int, seeds: list[int]) -> str:
        ports = self.ports
        joined_seeds = ','.join(f'{ADDRESS}:{port}' for port in seeds)
        lines = (
            f'NodeName={self._name}',
            f'Zone={self.zone}',
            f'Listen.Front={ADDRESS}:{ports.front}',
            f'Listen.Ready={ADDRESS}:{ports.ready}',
            f'Listen.Control={ADDRESS}:{ports.control}',
            f'Listen.directory={ADDRESS}:{ports.directory}',
            f'InternalPorts={ports.internal},{ports.last_internal}',
            f'Seeds={joined_seeds}',
            f'platform.Address={ADDRESS}:{store_port}',
        )
        return _FIXED_SETTINGS + '\n'.join((*lines, ''))


def _read_command() -> list[str]:
    deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
    command: str = deploy['roles']['entry']['run']
    return shlex.split(command)
