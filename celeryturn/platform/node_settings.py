"""The settings file that the platform writes for a process."""

from collections.abc import Mapping
from pathlib import Path
from typing import Final

from celeryturn.decisions.extra_load import ExtraLoadBounds
from celeryturn.errors import CeleryturnError, Fault, Kind
from celeryturn.forwarding.settings import ForwardingSettings, Grace
from celeryturn.settings import Endpoint, Settings, Timing

PATH_VARIABLE: Final = 'CELERYTURN_BOOT'
NEIGHBOUR_COUNT: Final = 3
PEER_IDLE_SECONDS: Final = 3.0
DEFAULTS: Final = ExtraLoadBounds()
DEFAULT_DESCRIPTORS: Final = 1024
# Of all descriptors, these are for files, and the rest also for targets.
FILE_DESCRIPTORS: Final = 200
CALLERS_SHARE: Final = 0.7

# Names of the platform for what a role listens on.
_FRONT: Final = 'Listen.Front'
_READY: Final = 'Listen.Ready'
_CONTROL: Final = 'Listen.Control'
_DIRECTORY: Final = 'Listen.directory'


def load_node_settings(path: str) -> ForwardingSettings:
    """Read the settings file of a process.

    :param path: The file.
    :returns: The settings in the product's own shape.
    :raises CeleryturnError: ``invalid_settings`` with every fault.
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

    :param text: Lines of the form ``a.b=value``; unknown ones are ignored.
    :returns: The settings in the product's own shape.
    :raises CeleryturnError: ``invalid_settings`` with every fault.
    """
    reader = _Reader(_lines(text))
    settings = ForwardingSettings(
        instance=_instance(reader),
        ready=reader.endpoint(_READY),
        directory=reader.endpoint(_DIRECTORY),
        # The first port that is free for traffic of our own.
        metrics=Endpoint(reader.text('Ip'), reader.first_port('InternalPorts')),
        seeds=reader.endpoints('Seeds'),
        max_connection_count=_connection_count(reader),
        extra_load=ExtraLoadBounds(
            reader.number('Bounds.RetryBudgetRatio', DEFAULTS.ratio),
            reader.number('Bounds.RetryBudgetSlack', DEFAULTS.slack_count),
            reader.number('Bounds.BudgetWindowS', DEFAULTS.window_seconds),
        ),
        grace=Grace(
            shutdown_seconds=reader.number('Bounds.GraceS', 6),
            advice_keep_seconds=reader.number('Bounds.ttl_max_s', 5),
        ),
    )
    if reader.faults:
        raise CeleryturnError(
            Kind.INVALID_SETTINGS,
            f'{len(reader.faults)} faults in the settings of the process',
            tuple(reader.faults),
        )
    return settings


def _instance(reader: '_Reader') -> Settings:
    zone = reader.text('Zone')
    region = reader.text('Region')
    # The store holds both the configuration and the list of targets.
    store = reader.endpoint('platform.Address')
    return Settings(
        instance=reader.text('NodeName'),
        availability_zone=zone,
        regions={region: [zone]},
        callers=reader.endpoint(_FRONT),
        peers=reader.endpoint(_CONTROL),
        configuration=store,
        instances=store,
        neighbour_count=NEIGHBOUR_COUNT,
        timing=Timing(peer_idle_seconds=PEER_IDLE_SECONDS),
    )


def _connection_count(reader: '_Reader') -> int:
    descriptors = reader.number('Limits.MaxFds', DEFAULT_DESCRIPTORS)
    usable = descriptors - FILE_DESCRIPTORS
    return max(1, int(CALLERS_SHARE * usable))


def _lines(text: str) -> Mapping[str, str]:
    fields = {}
    for line in text.splitlines():
        name, separator, field = line.partition('=')
        if separator:
            fields[name.strip()] = field.strip()
    return fields


class _Reader:
    """Reads fields and remembers every fault."""

    def __init__(self, fields: Mapping[str, str]) -> None:
        self.faults: list[Fault] = []
        self._fields = fields

    def text(self, name: str) -> str:
        found = self._fields.get(name, '')
        if not found:
            self.faults.append(Fault(name, 'is required'))
        return found

    def number(self, name: str, default: float) -> float:
        found = self._fields.get(name)
        if found is None:
            return default
        try:
            return float(found)
        except ValueError:
            self.faults.append(Fault(name, f'a number, got {found!r}'))
            return default

    def first_port(self, name: str) -> int:
        """Read the first port of a range.

        :param name: Name of the field.
        :returns: The port; zero with a fault where there is none.
        """
        first = self.text(name).partition(',')[0]
        if first.isascii() and first.isdigit():
            return int(first)
        if first:
            self.faults.append(Fault(name, f'PORT,PORT, got {first!r}'))
        return 0

    def endpoint(self, name: str) -> Endpoint:
        return self._endpoint(name, self.text(name))

    def endpoints(self, name: str) -> tuple[Endpoint, ...]:
        found = self._fields.get(name, '')
        parts = [part for part in found.split(',') if part]
        return tuple(self._endpoint(name, part) for part in parts)

    def _endpoint(self, name: str, found: str) -> Endpoint:
        endpoint = parse_endpoint(found)
        if endpoint is None:
            if found:
                self.faults.append(Fault(name, f'IP:PORT, got {found!r}'))
            return Endpoint('', 0)
        return endpoint


def parse_endpoint(text: str) -> Endpoint | None:
    """Split an address of the platform.

    :param text: ``IP:PORT``.
    :returns: The endpoint, or ``None`` where it is none.
    """
    address, _, port = text.rpartition(':')
    if not address or not port.isascii() or not port.isdigit():
        return None
    return Endpoint(address, int(port))
