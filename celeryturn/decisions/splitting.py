"""Split a route's requests over services in proportion to weights."""

from celeryturn.decisions.route_table import Route

MAX_ROUTES = 1024


class Splitter:
    """Smooth weighted round robin, by route.

    :param credits: What each service of a route has saved up.
    """

    __slots__ = ('credits',)

    def __init__(self) -> None:
        self.credits: dict[str, dict[str, float]] = {}


def choose_service(
    splitter: Splitter, route: Route, random_fraction: float
) -> str:
    """Choose the service of the next request.

    Every service saves up its weight; the richest one is chosen and pays
    the sum, so that shares hold over short spans too.

    :param splitter: State of the splits.
    :param route: A route with at least one service.
    :param random_fraction: Between 0 and 1; where a new split begins.
    :returns: Name of the service.
    """
    if len(route.services) == 1:
        return route.services[0].name
    route_credits = _route_credits(splitter, route, random_fraction)
    total_weight = sum(service.weight for service in route.services)
    for service in route.services:
        route_credits[service.name] += service.weight
    chosen = max(route_credits, key=route_credits.__getitem__)
    route_credits[chosen] -= total_weight
    return chosen


def _route_credits(
    splitter: Splitter, route: Route, random_fraction: float
) -> dict[str, float]:
    names = {service.name for service in route.services}
    route_credits = splitter.credits.get(route.name)
    if route_credits is None or route_credits.keys() != names:
        if len(splitter.credits) >= MAX_ROUTES:
            splitter.credits.clear()
        # Instances that began alike would choose alike in step.
        route_credits = {
            service.name: random_fraction * service.weight
            for service in route.services
        }
        splitter.credits[route.name] = route_credits
    return route_credits
