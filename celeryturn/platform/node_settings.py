"""Decoding of the settings file that the platform writes for a process."""

import math
from collections.abc import Mapping
from pathlib import Path
from typing import Final

from celeryturn.clients.process_limits import (
    ProcessLimits,
    read_process_limits,
)
from celeryturn.decisions.load.cold_share import ColdBounds
from celeryturn.decisions.load.extra_load import ExtraLoadBounds
from celeryturn.errors import CeleryturnError, Fault, Kind
from celeryturn.forwarding.settings import ForwardingSettings, Grace
from celeryturn.number_text import read_decimal, read_endpoint, read_port
from celeryturn.settings import Endpoint, Settings, Timing

SETTINGS_PATH_VARIABLE: Final = 'CELERYTURN_BOOT'
NEIGHBOUR_COUNT: Final = 3
PEER_IDLE_SECONDS: Final = 3.0
EXTRA_LOAD_DEFAULTS: Final = ExtraLoadBounds()
# A sub-request with its reply takes half a millisecond of a core, and a reply
# of a kilobyte with its headers takes 80 microseconds of a link of 100 Mbit/s.
SUB_REQUESTS_PER_CORE_SECOND: Final = 2000
SUB_REQUESTS_PER_MEGABIT: Final = 125
MAX_SETTING: Final = 1e9
BYTES_PER_MEGABYTE: Final = 1_000_000

# Names that the platform gives to the addresses an instance listens on.
_CALLERS_FIELD: Final = 'Listen.Front'
_READINESS_FIELD: Final = 'Listen.Ready'
_PEERS_FIELD: Final = 'Listen.Control'
_DIRECTORY_FIELD: Final = 'Listen.directory'


def load_node_settings(path: str) -> ForwardingSettings:
    """Read the settings file of a process.

    :param path: Path of the file.
    :returns: The settings as the product's own type.
    :raises CeleryturnError: ``invalid_settings`` with all faults.
    """
    try:
        text = Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise CeleryturnError(
            Kind.INVALID_SETTINGS, f'{path!r} cannot be read: {error}'
        ) from error
    return parse_node_settings(text)


def parse_node_settings(text: str) -> ForwardingSettings:
    """Decode the settings of a process.

    :param text: Lines of the form ``a.b=value``; unknown names are ignored.
    :returns: The settings as the product's own type.
    :raises CeleryturnError: ``invalid_settings`` with all faults.
    """
    reader = _Reader(_parse_lines(text))
    settings = ForwardingSettings(
        instance=_read_instance_settings(reader),
        ready=reader.endpoint(_READINESS_FIELD),
        directory=reader.endpoint(_DIRECTORY_FIELD),
        # The first of the ports that are free for the product's own traffic.
        metrics=Endpoint(reader.text('Ip'), reader.first_port('InternalPorts')),
        seeds=reader.endpoints('Seeds'),
        limits=_read_process_limits(reader),
        extra_load=ExtraLoadBounds(
            reader.number('Bounds.RetryBudgetRatio', EXTRA_LOAD_DEFAULTS.ratio),
            reader.number(
                'Bounds.RetryBudgetSlack', EXTRA_LOAD_DEFAULTS.slack_count
            ),
            reader.number(
                'Bounds.BudgetWindowS', EXTRA_LOAD_DEFAULTS.window_seconds
            ),
        ),
        # A deployment that is to bear the loss of a zone has room in others.
        limits_zone_spillover=reader.number('FaultTolerance.Zones', 0) > 0,
        grace=Grace(
            shutdown_seconds=reader.number('Bounds.GraceS', 6),
            advice_keep_seconds=reader.number('Bounds.ttl_max_s', 5),
        ),
        cold_bounds=_read_cold_bounds(reader),
    )
    if reader.faults:
        raise CeleryturnError(
            Kind.INVALID_SETTINGS,
            f'{len(reader.faults)} faults in the settings of the process',
            tuple(reader.faults),
        )
    return settings


def _read_instance_settings(reader: '_Reader') -> Settings:
    zone = reader.text('Zone')
    region = reader.text('Region')
    # One store holds both the configuration and the list of targets.
    store = reader.endpoint('platform.Address')
    return Settings(
        instance=reader.text('NodeName'),
        availability_zone=zone,
        regions={region: [zone]},
        callers=reader.endpoint(_CALLERS_FIELD),
        peers=reader.endpoint(_PEERS_FIELD),
        configuration=store,
        instances=store,
        neighbour_count=NEIGHBOUR_COUNT,
        timing=Timing(peer_idle_seconds=PEER_IDLE_SECONDS),
        capacity_per_second=_read_capacity(reader),
    )


def _read_cold_bounds(reader: '_Reader') -> ColdBounds | None:
    excess_ratio = reader.optional_number('Bounds.ColdExcess')
    slack_count = reader.optional_number('Bounds.ColdSlack')
    if excess_ratio is None or slack_count is None:
        return None
    return ColdBounds(excess_ratio, slack_count)


def _read_capacity(reader: '_Reader') -> int:
    # The share of each core, and the number of cores.
    core_count = reader.number('Limits.CpuShare', 0) * reader.number(
        'Limits.Cores', 1
    )
    link_mbps = reader.number('Limits.LinkMbps', 0)
    return int(
        min(
            core_count * SUB_REQUESTS_PER_CORE_SECOND,
            link_mbps * SUB_REQUESTS_PER_MEGABIT,
        )
    )


def _read_process_limits(reader: '_Reader') -> ProcessLimits:
    own = read_process_limits()
    # Zero stands for a limit that is not known.
    memory_bytes = BYTES_PER_MEGABYTE * reader.number('Limits.MemoryMb', 0)
    descriptor_count = reader.number('Limits.MaxFds', 0)
    return ProcessLimits(
        int(min(memory_bytes or math.inf, own.memory_bytes)),
        int(min(descriptor_count or math.inf, own.descriptor_count)),
    )


def _parse_lines(text: str) -> Mapping[str, str]:
    fields = {}
    for line in text.splitlines():
        name, separator, field_text = line.partition('=')
        if separator:
            fields[name.strip()] = field_text.strip()
    return fields


class _Reader:
    """Reads fields and collects all faults."""

    def __init__(self, fields: Mapping[str, str]) -> None:
        self.faults: list[Fault] = []
        self._fields = fields

    def text(self, name: str) -> str:
        field_text = self._fields.get(name, '')
        if not field_text:
            self.faults.append(Fault(name, 'is required'))
        return field_text

    def number(self, name: str, default: float) -> float:
        number = self.optional_number(name)
        return default if number is None else number

    def optional_number(self, name: str) -> float | None:
        field_text = self._fields.get(name)
        if field_text is None:
            return None
        number = read_decimal(field_text, MAX_SETTING)
        if number is None:
            self.faults.append(
                Fault(
                    name,
                    f'must be a number from 0 to {MAX_SETTING:.0f},'
                    f' got {field_text!r}',
                )
            )
        return number

    def first_port(self, name: str) -> int:
        """Read the first port of a range.

        :param name: Name of the field.
        :returns: The port, or zero and a recorded fault if there is none.
        """
        port_text = self.text(name).partition(',')[0]
        port = read_port(port_text)
        if port is not None:
            return port
        if port_text:
            self.faults.append(
                Fault(name, f'must be PORT,PORT, got {port_text!r}')
            )
        return 0

    def endpoint(self, name: str) -> Endpoint:
        return self._endpoint(name, self.text(name))

    def endpoints(self, name: str) -> tuple[Endpoint, ...]:
        field_text = self._fields.get(name, '')
        parts = [part for part in field_text.split(',') if part]
        return tuple(self._endpoint(name, part) for part in parts)

    def _endpoint(self, name: str, field_text: str) -> Endpoint:
        endpoint = parse_endpoint(field_text)
        if endpoint is None:
            if field_text:
                self.faults.append(
                    Fault(name, f'must be IP:PORT, got {field_text!r}')
                )
            return Endpoint('', 0)
        return endpoint


def parse_endpoint(text: str) -> Endpoint | None:
    """Parse an address in the platform's notation.

    :param text: ``IP:PORT``.
    :returns: The endpoint, or ``None`` if the text is not of this form.
    """
    parts = read_endpoint(text)
    return None if parts is None else Endpoint(*parts)
