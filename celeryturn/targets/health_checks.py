"""Health checks that detect when a target that was leaving serves again.

A draining target is sent no work, so no reply can report its return.  Its
health endpoint lags behind, so its report counts only if it shows that the
process of the target has restarted since it was draining.
"""

import asyncio
from typing import Final

from celeryturn.decisions.configuration.service_state import ServiceState
from celeryturn.decisions.targets import views
from celeryturn.events import TARGET_RETURNED, log
from celeryturn.http.client import fetch
from celeryturn.http.messages import HttpRequest
from celeryturn.instance import Instance
from celeryturn.targets import wire

MAX_POLL_INTERVAL_SECONDS: Final = 5.0
REQUEST_TIMEOUT_SECONDS: Final = 1.0


async def poll_leaving_targets(instance: Instance) -> None:
    """Check the health of leaving targets periodically, until cancelled.

    The pause before each round is random, between half and all of
    ``MAX_POLL_INTERVAL_SECONDS``.

    :param instance: The instance.
    """
    while not instance.is_closing:
        await asyncio.sleep(
            MAX_POLL_INTERVAL_SECONDS * (1 + instance.random()) / 2
        )
        for service in tuple(instance.services.values()):
            for name in _leaving_targets(service):
                await _check_health(instance, service, name)


def _leaving_targets(service: ServiceState) -> list[str]:
    return [
        name
        for name, target in service.document.targets.items()
        if target.state == 'serving'
        and not views.can_receive_work(service.views[name])
    ]


async def _check_health(
    instance: Instance, service: ServiceState, name: str
) -> None:
    target = service.document.targets[name]
    try:
        reply = await fetch(
            target.address,
            target.port,
            HttpRequest('GET', wire.HEALTH_PATH),
            REQUEST_TIMEOUT_SECONDS,
        )
        report = wire.parse_health(reply)
    except (OSError, wire.RefusalError):
        return
    view = service.views.get(name)
    if view is None or not views.has_returned(view, report):
        return
    views.observe_serving(view, instance.clock())
    view.report = report
    log(TARGET_RETURNED, target=name, boot=report.boot)
