"""Connectors of an instance that has lost its links to targets."""

import asyncio

from celeryturn.http.client import Connection


async def hang(_address: str, _port: int, seconds: float) -> Connection:
    """Wait in vain for a connection."""
    await asyncio.sleep(seconds)
    raise TimeoutError


async def refuse(_address: str, _port: int, _seconds: float) -> Connection:
    """Refuse a connection."""
    raise ConnectionRefusedError
