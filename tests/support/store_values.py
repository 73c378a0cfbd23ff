"""Values that the platform's store holds, for scenarios on decoding."""

from types import MappingProxyType
from typing import Any, Final

VALID_ENTRY: Final = MappingProxyType(
    {
        'Service': 's',
        'Address': '10.0.0.1:80',
        'Zone': 'z',
        'Slots': 4,
        'State': 'ready',
        'ColdLeftMs': 0,
        'born': 1,
        'Sequence': 1,
    }
)


def valid_table(*routes: Any) -> dict[str, Any]:
    """Build a valid configuration with the given routes."""
    return {
        'Version': 1,
        'Routes': list(routes),
        'Services': [{'Name': 's', 'MaxConns': 1}],
        'Limits': {
            'MaxHeaderBytes': 1,
            'MaxBodyBytes': 1,
            'HeaderTimeoutMs': 1,
            'IdleTimeoutMs': 1,
        },
    }
