"""Measure the control traffic of simulated fleets of several sizes.

Prints, for each size, the bytes an instance sends for a start of all and at
rest, and how long the fleet takes to notice losses and to unite again.
"""

import sys
from typing import Final, NamedTuple

from bench.fleet.simulation import Fleet, alive_names, knows_all, open_fleet

SIZES: Final = ((30, 3), (100, 3), (195, 6), (300, 6), (480, 7))
SETTLE_SECONDS: Final = 16.0
REST_SECONDS: Final = 30.0
MAX_WAIT_SECONDS: Final = 60.0
PARTITION_SECONDS: Final = 30.0
BYTES_PER_KILOBYTE: Final = 1000
SEED: Final = 7


class Measured(NamedTuple):
    """Control traffic of one size.

    :param start_bytes: Bytes an instance sends within
        :data:`SETTLE_SECONDS` of a start of all.
    :param start_crossing_bytes: Those of them to other zones.
    :param converged_seconds: Time until all know all.
    :param rest_bytes_per_second: Bytes an instance sends at rest.
    :param rest_crossing_share: Share of these to other zones.
    :param loss_seconds: Time until all know of the loss of one instance.
    :param zone_loss_seconds: Time until all know of the loss of a zone.
    :param united_seconds: Time until two halves that were apart know all.
    """

    start_bytes: float
    start_crossing_bytes: float
    converged_seconds: float
    rest_bytes_per_second: float
    rest_crossing_share: float
    loss_seconds: float
    zone_loss_seconds: float
    united_seconds: float


def measure(count: int, zone_count: int, seed: int = SEED) -> Measured:
    """Measure a fleet of one size.

    :param count: Number of instances.
    :param zone_count: Number of availability zones.
    :param seed: Seed of all random numbers.
    :returns: The figures.
    """
    with open_fleet(count, zone_count, seed) as fleet:
        fleet.start_all()
        fleet.run(1.0)
        converged_seconds = 1 + fleet.seconds_until(knows_all, SETTLE_SECONDS)
        fleet.run(max(0.0, SETTLE_SECONDS - converged_seconds))
        start_bytes, start_crossing_bytes = fleet.sent_bytes()
        fleet.run(REST_SECONDS)
        rest_bytes, rest_crossing_bytes = fleet.sent_bytes()
        rest = rest_bytes - start_bytes
        return Measured(
            start_bytes,
            start_crossing_bytes,
            converged_seconds,
            rest / REST_SECONDS,
            (rest_crossing_bytes - start_crossing_bytes) / rest,
            _lose(fleet, tuple(fleet.networks)[-1:]),
            _lose(fleet, _names_of_zone(fleet, 'zone-1')),
            _separate(fleet),
        )


def _lose(fleet: Fleet, names: tuple[str, ...]) -> float:
    fleet.kill(names)
    return fleet.seconds_until(knows_all, MAX_WAIT_SECONDS)


def _names_of_zone(fleet: Fleet, zone: str) -> tuple[str, ...]:
    return tuple(name for name in fleet.networks if fleet.zone_of(name) == zone)


def _separate(fleet: Fleet) -> float:
    # Instances of every zone are on both sides.
    urls = sorted(fleet.wires.accepting)
    side = set(urls[::2])
    fleet.wires.can_reach = lambda source, to: (source in side) == (to in side)
    fleet.run(PARTITION_SECONDS)
    count = len(fleet.networks)
    assert all(
        len(alive_names(known)) < count for known in fleet.networks.values()
    )
    fleet.wires.can_reach = lambda _source, _to: True
    return fleet.seconds_until(knows_all, MAX_WAIT_SECONDS)


def render(count: int, zone_count: int, measured: Measured) -> str:
    """Render a row of the table.

    :param count: Number of instances.
    :param zone_count: Number of availability zones.
    :param measured: The figures.
    :returns: A row in Markdown.
    """
    start_kilobytes = measured.start_bytes / BYTES_PER_KILOBYTE
    crossing_kilobytes = measured.start_crossing_bytes / BYTES_PER_KILOBYTE
    return (
        f'| {count} in {zone_count} | {start_kilobytes:.1f} KB'
        f' | {crossing_kilobytes:.1f} KB'
        f' | {measured.converged_seconds:.1f} s'
        f' | {measured.rest_bytes_per_second:.0f} B/s'
        f' | {measured.rest_crossing_share:.0%}'
        f' | {measured.loss_seconds:.1f} s'
        f' | {measured.zone_loss_seconds:.1f} s'
        f' | {measured.united_seconds:.1f} s |'
    )


def main() -> None:
    """Print the table."""
    sys.stdout.write(
        '| instances, zones | start of all | to other zones | all know all'
        ' | at rest | to other zones | one lost | a zone lost | halves united'
        ' |\n|---|---|---|---|---|---|---|---|---|\n'
    )
    for count, zone_count in SIZES:
        row = render(count, zone_count, measure(count, zone_count))
        sys.stdout.write(f'{row}\n')
        sys.stdout.flush()


if __name__ == '__main__':
    main()
