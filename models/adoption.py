"""Adoption of configuration: never reverts, and reaches everyone.

Three instances, one service, versions up to three.  The service may stand
still, instances may be cut off from their peers, and may restart with nothing
kept.  An instance restarts only when what it has in force has spread to the
peers it can reach: that is what "within seconds" buys, and without it nobody
could tell the restarted one.
"""

from collections.abc import Callable, Iterator
from typing import Final, NamedTuple, TypeAlias, TypeVar

from minicheck import Protocol

from celeryturn.decisions.adoption import Adoption, adopt
from celeryturn.decisions.document import Index as IndexVersion
from celeryturn.decisions.document import PublishedDocument, ServiceDocument

Adopt: TypeAlias = Callable[
    [PublishedDocument | None, PublishedDocument], Adoption
]

EntryT = TypeVar('EntryT')

INSTANCES: Final = 3
NEWEST: Final = 3
FIELDS: Final = ('published', 'shown', 'held', 'served', 'up', 'cut')


class State(NamedTuple):
    """State of the model.

    :param published: Newest version that operators published.
    :param shown: Version that the service shows.
    :param held: Version in force at each instance; zero for none.
    :param served: Highest version each instance ever served under.
    :param up: Whether each instance serves.
    :param cut: Whether each instance is cut off from its peers.
    """

    published: int
    shown: int
    held: tuple[int, ...]
    served: tuple[int, ...]
    up: tuple[bool, ...]
    cut: tuple[bool, ...]


Step: TypeAlias = tuple[str, State]


def build(decide: Adopt = adopt, newest: int = NEWEST) -> Protocol:
    """Build the model.

    :param decide: The decision under test.
    :param newest: Number of versions.
    :returns: The model.
    """
    everyone = range(INSTANCES)
    start = State(
        1,
        1,
        (1,) * INSTANCES,
        (1,) * INSTANCES,
        (True,) * INSTANCES,
        (False,) * INSTANCES,
    )

    def steps(raw: tuple[object, ...]) -> list[tuple[str, tuple[object, ...]]]:
        state = State(*raw)  # type: ignore[arg-type]
        found = list(_service_steps(state, newest))
        for place in everyone:
            found.extend(_instance_steps(state, place, decide))
        return [(label, tuple(after)) for label, after in found]

    return Protocol(
        name='adoption',
        candidate=False,
        fields=FIELDS,
        initial=tuple(start),
        transitions=steps,
        invariants={'never_reverts': _never_reverts},
        goal=lambda known: set(known['held']) == {newest},
    )


def adopt_whatever_is_other(
    in_force: PublishedDocument | None, candidate: PublishedDocument
) -> Adoption:
    """Mutant: the guard against older versions is gone."""
    return adopt(None, candidate)


def _never_reverts(known: dict[str, tuple[int, ...]]) -> bool:
    return all(
        held >= served
        for held, served, up in zip(
            known['held'], known['served'], known['up'], strict=True
        )
        if up
    )


def _service_steps(state: State, newest: int) -> Iterator[Step]:
    if state.published < newest:
        published = state.published + 1
        yield 'publish', state._replace(published=published)
    if state.shown < state.published:
        yield 'show', state._replace(shown=state.published)


def _instance_steps(state: State, place: int, decide: Adopt) -> Iterator[Step]:
    if state.held[place] or not _hears_peer(state, place):
        yield f'read {place}', _offer(state, place, state.shown, decide)
    for peer in range(INSTANCES):
        if peer != place and _are_linked(state, place, peer):
            offered = state.held[peer]
            if offered:
                after = _offer(state, place, offered, decide)
                yield f'tell {peer} {place}', after
    cut = _put(state.cut, place, not state.cut[place])
    yield f'cut or heal {place}', state._replace(cut=cut)
    yield from _life_steps(state, place)


def _life_steps(state: State, place: int) -> Iterator[Step]:
    if state.up[place] and _has_spread(state, place):
        up = _put(state.up, place, entry=False)
        down = state._replace(held=_put(state.held, place, 0), up=up)
        yield f'restart {place}', down
    if not state.up[place] and _has_caught_up(state, place):
        up = _put(state.up, place, entry=True)
        yield f'ready {place}', _note_served(state._replace(up=up))


def _offer(state: State, place: int, version: int, decide: Adopt) -> State:
    held = state.held[place]
    in_force = _published(held) if held else None
    weighed = decide(in_force, _published(version))
    version_after = weighed.current.document.version
    after = state._replace(held=_put(state.held, place, version_after))
    return _note_served(after)


def _note_served(state: State) -> State:
    served = tuple(
        max(held, before) if up else before
        for held, before, up in zip(
            state.held, state.served, state.up, strict=True
        )
    )
    return state._replace(served=served)


def _are_linked(state: State, place: int, peer: int) -> bool:
    return not state.cut[place] and not state.cut[peer]


def _hears_peer(state: State, place: int) -> bool:
    return any(
        state.up[peer] and _are_linked(state, place, peer)
        for peer in range(INSTANCES)
        if peer != place
    )


def _has_spread(state: State, place: int) -> bool:
    return _hears_peer(state, place) and all(
        state.held[peer] >= state.held[place]
        for peer in range(INSTANCES)
        if peer != place
    )


def _has_caught_up(state: State, place: int) -> bool:
    heard = [
        state.held[peer]
        for peer in range(INSTANCES)
        if peer != place and state.up[peer] and _are_linked(state, place, peer)
    ]
    return bool(heard) and state.held[place] >= max(heard)


def _put(
    row: tuple[EntryT, ...], place: int, entry: EntryT
) -> tuple[EntryT, ...]:
    return (*row[:place], entry, *row[place + 1 :])


def _published(version: int) -> PublishedDocument:
    document = ServiceDocument(
        'service', version, 1, indexes=_INDEXES, targets={}, homes={}
    )
    return PublishedDocument(document, version, b'')


_INDEXES: Final = (IndexVersion(1, 1, 1, {}),)
