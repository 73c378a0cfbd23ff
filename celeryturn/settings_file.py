"""Settings of one instance in a YAML file.

Kept apart from the settings themselves: an instance on the users' platform
reads another format, and starts sooner without the YAML parser.
"""

from pathlib import Path

import yaml

from celeryturn.errors import CeleryturnError, Kind
from celeryturn.settings import Settings, parse_settings


def load_settings(path: str) -> Settings:
    """Read and validate a settings file.

    :param path: Path of the file.
    :returns: The validated settings.
    :raises CeleryturnError: ``invalid_settings`` with every fault.
    """
    return parse_settings(read_yaml(path), path)


def read_yaml(path: str) -> object:
    """Read a YAML file; JSON is accepted as a subset of YAML.

    :param path: Path of the file.
    :returns: Mappings, lists and scalars.
    :raises CeleryturnError: ``invalid_settings`` if the file cannot be read.
    """
    try:
        return yaml.safe_load(Path(path).read_text(encoding='utf-8'))
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        raise CeleryturnError(
            Kind.INVALID_SETTINGS, f'{path}: cannot be read: {error}'
        ) from error
