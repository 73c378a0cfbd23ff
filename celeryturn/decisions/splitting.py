"""Split a route's requests over services in proportion to weights."""

from celeryturn.decisions.route_table import Route

MOST_ROUTES = 1024


class Splitter:
    """Smooth weighted round robin, by route.

    :param credits: What each service of a route has saved up.
    """

    __slots__ = ('credits',)

    def __init__(self) -> None:
        self.credits: dict[str, dict[str, float]] = {}


def choose_service(splitter: Splitter, route: Route, random: float) -> str:
    """Choose the service of the next request.

    Every service saves up its weight; the richest one is chosen and pays
    the sum, so that shares hold over short spans too.

    :param splitter: State of the splits.
    :param route: A route with at least one service.
    :param random: Between 0 and 1; where a new split begins.
    :returns: Name of the service.
    """
    if len(route.services) == 1:
        return route.services[0].name
    saved = _saved(splitter, route, random)
    total = sum(service.weight for service in route.services)
    for service in route.services:
        saved[service.name] += service.weight
    chosen = max(saved, key=saved.__getitem__)
    saved[chosen] -= total
    return chosen


def _saved(splitter: Splitter, route: Route, random: float) -> dict[str, float]:
    names = {service.name for service in route.services}
    saved = splitter.credits.get(route.name)
    if saved is None or saved.keys() != names:
        if len(splitter.credits) >= MOST_ROUTES:
            splitter.credits.clear()
        # Instances that began alike would choose alike in step.
        saved = {
            service.name: random * service.weight for service in route.services
        }
        splitter.credits[route.name] = saved
    return saved
