"""Let concurrent queries wait while one of them probes for the snapshot."""

import asyncio
from typing import Final

from celeryturn.decisions.configuration import service_state
from celeryturn.instance import Instance

MAX_WAIT_SECONDS: Final = 0.1


async def wait_for_probe(instance: Instance, service_name: str) -> None:
    """Wait while another query probes which snapshots the targets hold.

    Return immediately if the snapshot is known or if no probe is in flight,
    and after :data:`MAX_WAIT_SECONDS` at the latest.

    :param instance: The instance.
    :param service_name: Name of the service.
    """
    probe = instance.probes.get(service_name)
    if probe is None:
        return
    service = instance.services[service_name]
    if service_state.current_snapshot(service, instance.clock()).is_guess:
        await asyncio.wait((probe,), timeout=MAX_WAIT_SECONDS)


def begin_probe(instance: Instance, service_name: str) -> None:
    """Record that a query probes for the snapshot.

    :param instance: The instance.
    :param service_name: Name of the service.
    """
    if service_name not in instance.probes:
        loop = asyncio.get_running_loop()
        instance.probes[service_name] = loop.create_future()


def end_probe(instance: Instance, service_name: str) -> None:
    """Wake up the waiting queries.

    Call this when the snapshot is known or the probing query has ended.

    :param instance: The instance.
    :param service_name: Name of the service.
    """
    probe = instance.probes.pop(service_name, None)
    if probe is not None and not probe.done():
        probe.set_result(None)
