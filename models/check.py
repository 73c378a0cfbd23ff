"""Search the models, and the mutants that must fail: ``make check-deep``."""

import sys
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, Final, NamedTuple

import msgspec
from minicheck import Protocol, check_liveness, check_safety

from celeryturn.decisions import adoption as adoption_decisions
from celeryturn.tables import table
from models import adoption, booking, forwarded, leaving, query
from standins.topology import ServiceSize, User, build_document

MOST_STATES: Final = 2_000_000
MUTANT_STATES: Final = 150_000
DEEP_EVENTS: Final = 7
DEEP_VERSIONS: Final = 4


class Finding(NamedTuple):
    """What a search found.

    :param name: The model, or the mutant.
    :param state_count: States explored.
    :param is_complete: Whether every reachable state was explored.
    :param violated: Properties that do not hold, each with the shortest
        way there.
    """

    name: str
    state_count: int
    is_complete: bool
    violated: dict[str, list[str]]


def query_document() -> bytes:
    """Build the document of the query model.

    :returns: Two shards with two replicas each, as JSON.
    """
    shape = ServiceSize(2, 4, 2, 5, 40, 0, 'coverage')
    user = User('region', ('zone',), 0, MappingProxyType({'service': shape}))
    ports = {f'service-t{number:02}': 1024 + number for number in range(4)}
    return msgspec.json.encode(build_document('service', user, ports))


def _query_mutant(on_reply: query.OnReply) -> Callable[[], Protocol]:
    return lambda: query.build(query_document(), on_reply)


MODELS: Final[Mapping[str, Callable[[], Protocol]]] = MappingProxyType(
    {
        'adoption': adoption.build,
        'booking': booking.build,
        'query': lambda: query.build(query_document()),
        'leaving': leaving.build,
        'forwarded once': lambda: forwarded.build(forwarded.ONCE),
        'forwarded to shards': lambda: forwarded.build(forwarded.GATHER),
    }
)
DEEP: Final[Mapping[str, Callable[[], Protocol]]] = MappingProxyType(
    {
        'adoption, four versions': lambda: adoption.build(
            adoption_decisions.adopt, DEEP_VERSIONS
        ),
        'query, seven events': lambda: query.build(
            query_document(), most_events=DEEP_EVENTS
        ),
        'forwarded once, seven events': lambda: forwarded.build(
            forwarded.ONCE, most_events=DEEP_EVENTS
        ),
        'forwarded to shards, five events': lambda: forwarded.build(
            forwarded.GATHER, most_events=forwarded.MOST_EVENTS + 1
        ),
    }
)
MUTANTS: Final[Mapping[str, Callable[[], Protocol]]] = MappingProxyType(
    {
        'adoption without the guard against older versions': lambda: (
            adoption.build(adoption.adopt_whatever_is_other)
        ),
        'booking without freshness': lambda: booking.build(
            booking.Rules(booking.refuse_without_freshness)
        ),
        'booking decided at admission only': lambda: booking.build(
            booking.Rules(asks_again=False)
        ),
        'booking fresh for the whole dwell': lambda: booking.build(
            booking.Rules(booking.refuse_after_whole_dwell)
        ),
        'booking sent again after silence': lambda: booking.build(
            booking.Rules(resends=True)
        ),
        'booking whose silence is not run': lambda: booking.build(
            booking.Rules(silence=booking.silence_is_not_run)
        ),
        'query that takes any snapshot': _query_mutant(query.take_any_snapshot),
        'query that takes late replies': _query_mutant(query.take_late_replies),
        'leaving instance that is advised': lambda: leaving.build(
            leaving.product_rules()._replace(is_advised=leaving.advise_anyone)
        ),
        'leaving without serving kept advice': lambda: leaving.build(
            leaving.product_rules()._replace(serves_kept_advice=False)
        ),
        'leaving without finishing': lambda: leaving.build(
            leaving.product_rules()._replace(finishes=False)
        ),
        'draining target that gets work': lambda: leaving.build(
            leaving.product_rules()._replace(
                may_get_work=leaving.work_for_anyone
            )
        ),
        'forwarded again after a lost connection': lambda: forwarded.build(
            forwarded.ONCE, forwarded.Rules(forwarded.lost_is_not_run)
        ),
        'forwarded by newer routes': lambda: forwarded.build(
            forwarded.GATHER, forwarded.Rules(rereads_routes=True)
        ),
        'forwarded to draining targets': lambda: forwarded.build(
            forwarded.GATHER,
            forwarded.Rules(serving=forwarded.anyone_serving),
        ),
        'forwarded without counting': lambda: forwarded.build(
            forwarded.GATHER, forwarded.Rules(spend=forwarded.spend_freely)
        ),
    }
)


def search(
    name: str, make: Callable[[], Protocol], most_states: int = MOST_STATES
) -> Finding:
    """Search a model to its end.

    :param name: What to call it.
    :param make: Builds it.
    :param most_states: States after which the search is cut short.
    :returns: What was found.
    """
    model = make()
    found: dict[str, Any] = check_safety(model, max_states=most_states)
    violated = {
        prop: [str(step) for step in verdict['counterexample']]
        for prop, verdict in found['properties'].items()
        if verdict['holds'] is False
    }
    if model.goal is not None and not violated:
        live = check_liveness(model)
        if live['holds'] is not True:
            violated['reaches_its_goal'] = [str(live)]
    return Finding(
        name,
        found['reachable_states'],
        found['exhaustive'],
        violated,
    )


def search_mutant(name: str) -> Finding:
    """Search a mutant until it is found out.

    :param name: Which.
    :returns: What was found; the search may be cut short, since one
        counterexample is enough.
    """
    return search(name, MUTANTS[name], MUTANT_STATES)


def main() -> None:
    """Search everything, deeper bounds included, and print a table."""
    whole = [search(*entry) for entry in {**MODELS, **DEEP}.items()]
    mutants = [search_mutant(name) for name in MUTANTS]
    rows = [
        (
            finding.name,
            finding.state_count,
            'complete' if finding.is_complete else 'cut short',
            ', '.join(finding.violated) or 'holds',
        )
        for finding in (*whole, *mutants)
    ]
    heads = ('MODEL OR MUTANT', 'STATES', 'SEARCH', 'FOUND')
    sys.stdout.write(f'{table(heads, rows)}\n')
    is_good = not any(finding.violated for finding in whole)
    sys.exit(0 if is_good and all(mutant.violated for mutant in mutants) else 1)


if __name__ == '__main__':
    main()
