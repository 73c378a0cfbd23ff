"""Let one query find out the snapshot for all that arrive beside it."""

import asyncio
from typing import Final

from celeryturn.decisions import service_state
from celeryturn.instance import Instance

MAX_WAIT_SECONDS: Final = 0.1


async def wait_for_probe(instance: Instance, service_name: str) -> None:
    """Wait while another query finds out what the targets hold.

    Returns at once where that is known, or where nobody is finding out.

    :param instance: The instance.
    :param service_name: Name of the service.
    """
    probe = instance.scouts.get(service_name)
    if probe is None:
        return
    service = instance.services[service_name]
    if service_state.current_snapshot(service, instance.clock()).is_guess:
        await asyncio.wait((probe,), timeout=MAX_WAIT_SECONDS)


def begin_probe(instance: Instance, service_name: str) -> None:
    """Say that a query is finding out.

    :param instance: The instance.
    :param service_name: Name of the service.
    """
    if service_name not in instance.scouts:
        loop = asyncio.get_running_loop()
        instance.scouts[service_name] = loop.create_future()


def end_probe(instance: Instance, service_name: str) -> None:
    """Say that it is known, or that the query has ended.

    :param instance: The instance.
    :param service_name: Name of the service.
    """
    probe = instance.scouts.pop(service_name, None)
    if probe is not None and not probe.done():
        probe.set_result(None)
