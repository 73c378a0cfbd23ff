"""Numbers in text that comes from outside: headers, addresses, settings."""

import math
import re
from typing import Final

MAX_PORT: Final = 65535
_COUNT: Final = re.compile('[0-9]{1,18}')
_DECIMAL: Final = re.compile(
    r'[0-9]{1,18}(\.[0-9]{1,18})?([eE][+-]?[0-9]{1,3})?'
)


def read_count(text: str, max_count: int) -> int | None:
    """Read a whole number of ASCII digits.

    :param text: Text to read.
    :param max_count: Largest number that is accepted.
    :returns: The number, or ``None`` if the text holds anything else than
        digits, or a larger number.
    """
    if not _COUNT.fullmatch(text):
        return None
    count = int(text)
    return count if count <= max_count else None


def read_decimal(text: str, max_number: float) -> float | None:
    """Read a number that is not negative, with an optional fraction.

    :param text: Text to read.
    :param max_number: Largest number that is accepted.
    :returns: The number, or ``None`` if the text holds anything else, such as
        a sign or the name of a value that is not finite, or a larger number.
    """
    if not _DECIMAL.fullmatch(text):
        return None
    number = float(text)
    return number if math.isfinite(number) and number <= max_number else None


def read_port(text: str) -> int | None:
    """Read a TCP port.

    :param text: Text to read.
    :returns: The port, or ``None`` if the text is no number from 1 to 65535.
    """
    return read_count(text, MAX_PORT) or None


def read_endpoint(text: str) -> tuple[str, int] | None:
    """Read an address with a port.

    :param text: ``ADDRESS:PORT``.
    :returns: Address and port, or ``None`` if the text is not of this form.
    """
    address, _, port_text = text.rpartition(':')
    port = read_port(port_text)
    if not address or port is None:
        return None
    return address, port
