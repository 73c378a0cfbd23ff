"""Distribute the requests of a route over services by weight."""

from celeryturn.decisions.request.route_table import Route

MAX_ROUTES = 1024


class Splitter:
    """State of the smooth weighted round robin of each route.

    :param credits: Accumulated weight of each service, by route.
    """

    __slots__ = ('credits',)

    def __init__(self) -> None:
        self.credits: dict[str, dict[str, float]] = {}


def choose_service(
    splitter: Splitter, route: Route, random_fraction: float
) -> str:
    """Choose the service of the next request.

    Every service is credited with its weight.  The service with the highest
    credit is chosen and debited with the sum of all weights, so that the
    proportions also hold over short periods.

    :param splitter: State of the weighted round robin.
    :param route: A route with at least one service.
    :param random_fraction: Random number in [0, 1) that sets the initial
        credits of a route.
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
        # With equal initial credits, all instances would choose the same
        # services in the same order.
        route_credits = {
            service.name: random_fraction * service.weight
            for service in route.services
        }
        splitter.credits[route.name] = route_credits
    return route_credits
