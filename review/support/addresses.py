"""The address that everything listens on."""

from typing import Final

ADDRESS: Final = '127.0.0.1'
