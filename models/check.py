"""Check the models, and the mutants that must fail: ``make check-deep``."""

import sys
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, Final, NamedTuple

import msgspec
from minicheck import Protocol, check_liveness, check_safety

from celeryturn.decisions.configuration import adoption as adoption_decisions
from celeryturn.tables import format_table
from models import adoption, booking, forwarded, leaving, query
from standins.topology import ServiceSize, User, build_document

MAX_STATES: Final = 2_000_000
MAX_MUTANT_STATES: Final = 150_000
DEEP_MAX_EVENTS: Final = 7
DEEP_VERSION_COUNT: Final = 4


class Finding(NamedTuple):
    """Result of a search.

    :param name: Name of the model or mutant.
    :param state_count: Count of states explored.
    :param is_complete: Whether every reachable state was explored.
    :param violated: Properties that do not hold, each with the shortest
        trace to a violation.
    """

    name: str
    state_count: int
    is_complete: bool
    violated: dict[str, list[str]]


def query_document() -> bytes:
    """Build the service document of the query model.

    :returns: A document of two shards with two replicas each, as JSON.
    """
    shape = ServiceSize(2, 4, 2, 5, 40, 0, 'coverage')
    user = User('region', ('zone',), 0, MappingProxyType({'service': shape}))
    ports = {f'service-t{number:02}': 1024 + number for number in range(4)}
    return msgspec.json.encode(build_document('service', user, ports))


def _build_query_mutant(on_reply: query.OnReply) -> Callable[[], Protocol]:
    return lambda: query.build(query_document(), on_reply)


MODELS: Final[Mapping[str, Callable[[], Protocol]]] = MappingProxyType(
    {
        'adoption': adoption.build,
        'booking': booking.build,
        'query': lambda: query.build(query_document()),
        'leaving': leaving.build,
        'forwarded once': lambda: forwarded.build(forwarded.AT_MOST_ONCE_ROUTE),
        'forwarded to shards': lambda: forwarded.build(
            forwarded.SCATTER_GATHER_ROUTE
        ),
    }
)
DEEP: Final[Mapping[str, Callable[[], Protocol]]] = MappingProxyType(
    {
        'adoption, four versions': lambda: adoption.build(
            adoption_decisions.adopt, DEEP_VERSION_COUNT
        ),
        'query, seven events': lambda: query.build(
            query_document(), max_events=DEEP_MAX_EVENTS
        ),
        'forwarded once, seven events': lambda: forwarded.build(
            forwarded.AT_MOST_ONCE_ROUTE, max_events=DEEP_MAX_EVENTS
        ),
        'forwarded to shards, five events': lambda: forwarded.build(
            forwarded.SCATTER_GATHER_ROUTE, max_events=forwarded.MAX_EVENTS + 1
        ),
    }
)
MUTANTS: Final[Mapping[str, Callable[[], Protocol]]] = MappingProxyType(
    {
        'adoption without the guard against older versions': lambda: (
            adoption.build(adoption.adopt_any_version)
        ),
        'booking without freshness': lambda: booking.build(
            booking.Rules(booking.refusal_kind_without_freshness)
        ),
        'booking decided at admission only': lambda: booking.build(
            booking.Rules(rechecks_before_write=False)
        ),
        'booking fresh for the whole dwell': lambda: booking.build(
            booking.Rules(booking.refusal_kind_after_whole_dwell)
        ),
        'booking sent again after silence': lambda: booking.build(
            booking.Rules(resends_without_response=True)
        ),
        'booking whose silence is not run': lambda: booking.build(
            booking.Rules(no_response_kind=booking.treat_no_response_as_not_run)
        ),
        'query that takes any snapshot': _build_query_mutant(
            query.accept_any_snapshot
        ),
        'query that takes late replies': _build_query_mutant(
            query.accept_late_replies
        ),
        'leaving instance that is advised': lambda: leaving.build(
            leaving.product_rules()._replace(
                is_advised=leaving.advise_any_instance
            )
        ),
        'leaving without serving kept advice': lambda: leaving.build(
            leaving.product_rules()._replace(serves_kept_advice=False)
        ),
        'leaving without finishing': lambda: leaving.build(
            leaving.product_rules()._replace(finishes_requests=False)
        ),
        'draining target that gets work': lambda: leaving.build(
            leaving.product_rules()._replace(
                can_receive_work=leaving.ignore_draining_report
            )
        ),
        'forwarded again after a lost connection': lambda: forwarded.build(
            forwarded.AT_MOST_ONCE_ROUTE,
            forwarded.Rules(forwarded.treat_lost_as_not_run),
        ),
        'forwarded by newer routes': lambda: forwarded.build(
            forwarded.SCATTER_GATHER_ROUTE, forwarded.Rules(rereads_routes=True)
        ),
        'forwarded to draining targets': lambda: forwarded.build(
            forwarded.SCATTER_GATHER_ROUTE,
            forwarded.Rules(serving=forwarded.serving_with_draining),
        ),
        'forwarded without counting': lambda: forwarded.build(
            forwarded.SCATTER_GATHER_ROUTE,
            forwarded.Rules(spend=forwarded.spend_without_limit),
        ),
    }
)


def search(
    name: str,
    build_model: Callable[[], Protocol],
    max_state_count: int = MAX_STATES,
) -> Finding:
    """Search the whole state space of a model.

    :param name: Name of the model in the finding.
    :param build_model: Builds the model.
    :param max_state_count: Maximum count of states; the search is cut short
        there.
    :returns: The finding.
    """
    model = build_model()
    found: dict[str, Any] = check_safety(model, max_states=max_state_count)
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
    """Search a mutant for a counterexample.

    :param name: Name of the mutant.
    :returns: The finding; the search may be cut short, since one
        counterexample is enough.
    """
    return search(name, MUTANTS[name], MAX_MUTANT_STATES)


def main() -> None:
    """Search all models and mutants, deeper bounds included; print a table."""
    findings = [search(*entry) for entry in {**MODELS, **DEEP}.items()]
    mutant_findings = [search_mutant(name) for name in MUTANTS]
    rows = [
        (
            finding.name,
            finding.state_count,
            'complete' if finding.is_complete else 'cut short',
            ', '.join(finding.violated) or 'holds',
        )
        for finding in (*findings, *mutant_findings)
    ]
    headers = ('MODEL OR MUTANT', 'STATES', 'SEARCH', 'FOUND')
    sys.stdout.write(f'{format_table(headers, rows)}\n')
    is_good = not any(finding.violated for finding in findings)
    sys.exit(
        0
        if is_good and all(mutant.violated for mutant in mutant_findings)
        else 1
    )


if __name__ == '__main__':
    main()
