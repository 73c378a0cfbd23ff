"""Instances of the project, started as the deploy file says."""

import contextlib
import os
import random
import signal
import socket
import subprocess
import tomllib
from pathlib import Path
from typing import Final

from review.support.addresses import ADDRESS

REPOSITORY: Final = Path(__file__).resolve().parents[2]
ZONES: Final = ('zone-a', 'zone-b', 'zone-c')
ROLE: Final = 'entry'
STOP_SECONDS: Final = 5.0
# Below the ports that the system uses for outgoing connections.
PORT_RANGE: Final = (20_000, 32_000)
PORT_NAMES: Final = ('front', 'ready', 'control', 'directory', 'internal')

SETTINGS: Final = """\
NodeName=front-{zone}-{number}
Role={role}
MachineClass=front
Serves=front,control,directory
Ip={address}
Zone={zone}
Region=region
Zones.zone-a=region
Zones.zone-b=region
Zones.zone-c=region
Listen.Front={address}:{front}
Listen.Ready={address}:{ready}
Listen.Control={address}:{control}
Listen.directory={address}:{directory}
InternalPorts={internal},{internal}
Seeds={seeds}
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
platform.Address={address}:{store}
platform.form=read
platform.WritesPerS=400
platform.ReadsPerS=2000
platform.HistoryS=20
platform.ValueBytes=1048576
platform.MinTtlMs=1000
"""


class Instance:
    """One machine of the system and its process.

    :param ports: Its ports by name.
    :param process: Its process; ``None`` while there is none.
    """

    def __init__(self, number: int, ports: dict[str, int]) -> None:
        self.number = number
        self.ports = ports
        self.process: subprocess.Popen[bytes] | None = None

    def start(self, folder: Path, store_port: int, seeds: str) -> None:
        """Start the process.

        :param folder: Folder for its settings file and its output.
        :param store_port: Port of the platform's store.
        :param seeds: The seeds in its settings.
        """
        path = folder / f'node-{self.number}.conf'
        path.write_text(
            SETTINGS.format(
                number=self.number,
                role=ROLE,
                zone=ZONES[self.number % len(ZONES)],
                address=ADDRESS,
                seeds=seeds,
                store=store_port,
                **self.ports,
            )
        )
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(REPOSITORY / 'target' / 'deps')
        environment['CELERYTURN_BOOT'] = str(path)
        with (folder / f'node-{self.number}.log').open('ab') as output:
            self.process = subprocess.Popen(
                run_command(),
                cwd=REPOSITORY,
                env=environment,
                stdout=output,
                stderr=output,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process.

        :param number: The signal.
        """
        if self.process is not None:
            self.process.send_signal(number)

    def stop(self) -> None:
        """Kill the process, if it runs."""
        if self.process is not None:
            self.process.kill()
            self.process.wait(STOP_SECONDS)
            self.process = None


def run_command() -> list[str]:
    """Read the command of the deploy file.

    :returns: The program and its arguments.
    """
    text = (REPOSITORY / 'deploy' / 'system.toml').read_text()
    command: str = tomllib.loads(text)['roles'][ROLE]['run']
    return command.split()


def make_instances(count: int) -> list[Instance]:
    """Make instances with free ports, without starting them.

    :param count: Number of instances.
    :returns: The instances.
    """
    ports = iter(_find_free_ports(count * len(PORT_NAMES)))
    return [
        Instance(number, {name: next(ports) for name in PORT_NAMES})
        for number in range(count)
    ]


def seeds_of(instances: list[Instance]) -> str:
    """Build the seeds in the settings.

    :param instances: All instances.
    :returns: The control addresses of up to three of them.
    """
    return ','.join(
        f'{ADDRESS}:{instance.ports["control"]}' for instance in instances[:3]
    )


def _find_free_ports(count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        ports: list[int] = []
        while len(ports) < count:
            probe = stack.enter_context(socket.socket())
            with contextlib.suppress(OSError):
                probe.bind((ADDRESS, random.randrange(*PORT_RANGE)))
                ports.append(probe.getsockname()[1])
        return ports
