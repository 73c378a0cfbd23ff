"""Let one query find out the snapshot for all that arrive beside it."""

import asyncio
from typing import Final

from celeryturn.decisions import service_state
from celeryturn.instance import Instance

LONGEST_WAIT_SECONDS: Final = 0.1


async def wait_for_scout(instance: Instance, service_name: str) -> None:
    """Wait while another query finds out what the targets hold.

    Returns at once where that is known, or where nobody is finding out.

    :param instance: The instance.
    :param service_name: Name of the service.
    """
    scout = instance.probes.get(service_name)
    if scout is None:
        return
    service = instance.services[service_name]
    if service_state.current_snapshot(service, instance.clock()).is_guess:
        await asyncio.wait((scout,), timeout=LONGEST_WAIT_SECONDS)


def begin_scouting(instance: Instance, service_name: str) -> None:
    """Say that a query is finding out.

    :param instance: The instance.
    :param service_name: Name of the service.
    """
    if service_name not in instance.probes:
        loop = asyncio.get_running_loop()
        instance.probes[service_name] = loop.create_future()


def end_scouting(instance: Instance, service_name: str) -> None:
    """Say that it is known, or that the query has ended.

    :param instance: The instance.
    :param service_name: Name of the service.
    """
    scout = instance.probes.pop(service_name, None)
    if scout is not None and not scout.done():
        scout.set_result(None)
