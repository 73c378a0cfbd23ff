"""Seeds: peers that are dialled before their names are known."""

from collections.abc import Iterable
from typing import Final

from celeryturn.decisions.fleet import membership
from celeryturn.settings import Endpoint

NAME_PREFIX: Final = 'seed'


def unknown_seed_urls(
    seeds: Iterable[Endpoint], members: Iterable[membership.Member]
) -> dict[str, str]:
    """List the seeds that no known member has the address of.

    The name of a seed is known only after it has sent its hello; until then it
    is identified by its address.

    :param seeds: Endpoints of the seeds.
    :param members: Known members.
    :returns: URL by temporary name of the seed.
    """
    known = {
        (member.address, member.peers_port)
        for member in members
        if member.status is not membership.Status.GONE
    }
    return {
        _temporary_name(seed): f'ws://{seed.address}:{seed.port}/'
        for seed in seeds
        if (seed.address, seed.port) not in known
    }


def _temporary_name(seed: Endpoint) -> str:
    return f'{NAME_PREFIX} {seed.address}:{seed.port}'
