"""Adoption of configuration: never reverts, and reaches every instance.

There are three instances, one service and versions up to three.  The service
may be stalled; instances may be isolated from their peers and may restart
without stored state.  An instance restarts only when it can reach a peer and
its version has spread to the other instances.  This models that versions
spread "within seconds"; otherwise no peer could send the version to the
restarted instance.
"""

from collections.abc import Callable, Iterator
from typing import Final, NamedTuple, TypeAlias, TypeVar

from minicheck import Protocol

from celeryturn.decisions.configuration.adoption import Adoption, adopt
from celeryturn.decisions.configuration.document import Index as IndexVersion
from celeryturn.decisions.configuration.document import (
    PublishedDocument,
    ServiceDocument,
)

Adopt: TypeAlias = Callable[
    [PublishedDocument | None, PublishedDocument], Adoption
]

EntryT = TypeVar('EntryT')

INSTANCE_COUNT: Final = 3
NEWEST_VERSION: Final = 3
FIELDS: Final = (
    'published_version',
    'service_version',
    'held',
    'highest_served',
    'is_serving',
    'is_isolated',
)


class State(NamedTuple):
    """State of the model.

    :param published_version: Newest version that operators published.
    :param service_version: Version that the service returns.
    :param held: Current version of each instance; zero for none.
    :param highest_served: Highest version that each instance has served with.
    :param is_serving: Whether each instance is serving.
    :param is_isolated: Whether each instance is isolated from its peers.
    """

    published_version: int
    service_version: int
    held: tuple[int, ...]
    highest_served: tuple[int, ...]
    is_serving: tuple[bool, ...]
    is_isolated: tuple[bool, ...]


Transition: TypeAlias = tuple[str, State]


def build(
    adopt_document: Adopt = adopt, newest_version: int = NEWEST_VERSION
) -> Protocol:
    """Build the model.

    :param adopt_document: The decision under test.
    :param newest_version: Newest version that operators publish.
    :returns: The model.
    """
    positions = range(INSTANCE_COUNT)
    initial_state = State(
        1,
        1,
        (1,) * INSTANCE_COUNT,
        (1,) * INSTANCE_COUNT,
        (True,) * INSTANCE_COUNT,
        (False,) * INSTANCE_COUNT,
    )

    def list_transitions(
        raw: tuple[object, ...],
    ) -> list[tuple[str, tuple[object, ...]]]:
        state = State(*raw)  # type: ignore[arg-type]
        found = list(_service_transitions(state, newest_version))
        for place in positions:
            found.extend(_instance_transitions(state, place, adopt_document))
        return [(label, tuple(after)) for label, after in found]

    return Protocol(
        name='adoption',
        candidate=False,
        fields=FIELDS,
        initial=tuple(initial_state),
        transitions=list_transitions,
        invariants={'never_reverts': _never_reverts},
        goal=lambda state_fields: set(state_fields['held']) == {newest_version},
    )


def adopt_any_version(
    current: PublishedDocument | None, candidate: PublishedDocument
) -> Adoption:
    """Mutant: the guard against older versions is missing."""
    return adopt(None, candidate)


def _never_reverts(state_fields: dict[str, tuple[int, ...]]) -> bool:
    return all(
        held >= highest_served
        for held, highest_served, is_serving in zip(
            state_fields['held'],
            state_fields['highest_served'],
            state_fields['is_serving'],
            strict=True,
        )
        if is_serving
    )


def _service_transitions(
    state: State, newest_version: int
) -> Iterator[Transition]:
    if state.published_version < newest_version:
        published_version = state.published_version + 1
        yield 'publish', state._replace(published_version=published_version)
    if state.service_version < state.published_version:
        yield (
            'refresh service',
            state._replace(service_version=state.published_version),
        )


def _instance_transitions(
    state: State, position: int, adopt_document: Adopt
) -> Iterator[Transition]:
    if state.held[position] or not _has_reachable_peer(state, position):
        yield (
            f'read {position}',
            _offer(state, position, state.service_version, adopt_document),
        )
    for peer in range(INSTANCE_COUNT):
        if peer != position and _are_connected(state, position, peer):
            offered = state.held[peer]
            if offered:
                adopted = _offer(state, position, offered, adopt_document)
                yield f'offer from {peer} to {position}', adopted
    is_isolated = _replace_at(
        state.is_isolated, position, not state.is_isolated[position]
    )
    yield (
        f'isolate or reconnect {position}',
        state._replace(is_isolated=is_isolated),
    )
    yield from _restart_transitions(state, position)


def _restart_transitions(state: State, position: int) -> Iterator[Transition]:
    if state.is_serving[position] and _has_spread(state, position):
        is_serving = _replace_at(state.is_serving, position, entry=False)
        restarted = state._replace(
            held=_replace_at(state.held, position, 0),
            is_serving=is_serving,
        )
        yield f'restart {position}', restarted
    if not state.is_serving[position] and _has_caught_up(state, position):
        is_serving = _replace_at(state.is_serving, position, entry=True)
        yield (
            f'ready {position}',
            _record_served(state._replace(is_serving=is_serving)),
        )


def _offer(
    state: State, position: int, version: int, adopt_document: Adopt
) -> State:
    held = state.held[position]
    held_document = _build_document(held) if held else None
    adoption = adopt_document(held_document, _build_document(version))
    adopted_version = adoption.current.document.version
    next_state = state._replace(
        held=_replace_at(state.held, position, adopted_version)
    )
    return _record_served(next_state)


def _record_served(state: State) -> State:
    highest_served = tuple(
        max(held, previous) if is_serving else previous
        for held, previous, is_serving in zip(
            state.held,
            state.highest_served,
            state.is_serving,
            strict=True,
        )
    )
    return state._replace(highest_served=highest_served)


def _are_connected(state: State, position: int, peer: int) -> bool:
    return not state.is_isolated[position] and not state.is_isolated[peer]


def _has_reachable_peer(state: State, position: int) -> bool:
    return any(
        state.is_serving[peer] and _are_connected(state, position, peer)
        for peer in range(INSTANCE_COUNT)
        if peer != position
    )


def _has_spread(state: State, position: int) -> bool:
    return _has_reachable_peer(state, position) and all(
        state.held[peer] >= state.held[position]
        for peer in range(INSTANCE_COUNT)
        if peer != position
    )


def _has_caught_up(state: State, position: int) -> bool:
    peer_versions = [
        state.held[peer]
        for peer in range(INSTANCE_COUNT)
        if peer != position
        and state.is_serving[peer]
        and _are_connected(state, position, peer)
    ]
    return bool(peer_versions) and state.held[position] >= max(peer_versions)


def _replace_at(
    row: tuple[EntryT, ...], position: int, entry: EntryT
) -> tuple[EntryT, ...]:
    return (*row[:position], entry, *row[position + 1 :])


def _build_document(version: int) -> PublishedDocument:
    document = ServiceDocument(
        'service', version, 1, indexes=_INDEXES, targets={}, homes={}
    )
    return PublishedDocument(document, version, b'')


_INDEXES: Final = (IndexVersion(1, 1, 1, {}),)
