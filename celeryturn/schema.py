"""Decode plain mappings into named tuples, reporting every fault at once.

One mechanism serves settings, configuration documents, request bodies and
peer messages.  ``msgspec`` validates each leaf; this module walks the nested
named tuples so that one bad field does not hide the next.
"""

import functools
import typing
from collections.abc import Mapping
from typing import Any, Final, Generic, NamedTuple, TypeVar

import msgspec

from celeryturn.errors import Fault

ShapeT = TypeVar('ShapeT')

_MISSING: Final = object()


class Decoded(NamedTuple, Generic[ShapeT]):
    """Outcome of a decode.

    :param shape: The decoded named tuple, or ``None`` when it has faults.
    :param faults: Every fault found.
    """

    shape: ShapeT | None
    faults: tuple[Fault, ...]


def decode(shape: type[ShapeT], raw: object, path: str = '') -> Decoded[ShapeT]:
    """Decode a mapping into a named tuple.

    :param shape: The named tuple class; its annotations are the schema.
    :param raw: What a YAML, JSON or CBOR reader returned.
    :param path: Dotted path of ``raw`` in the whole input.
    :returns: The decoded shape, or all its faults.
    """
    if not isinstance(raw, Mapping):
        kind = type(raw).__name__
        return Decoded(None, (Fault(path or '.', f'a mapping, got {kind}'),))
    hints = _hints(typing.cast('Any', shape))
    faults = _unknown_fields(raw, hints, path)
    fields = {}
    for name, hint in hints.items():
        offered = raw.get(name, _MISSING)
        if offered is not _MISSING:
            decoded = _decode_field(hint, offered, _join(path, name))
            fields[name] = decoded.shape
            faults.extend(decoded.faults)
        elif name not in _defaults(shape):
            faults.append(Fault(_join(path, name), 'is required'))
    if faults:
        return Decoded(None, tuple(faults))
    return Decoded(shape(**fields), ())


def encode(shape: object) -> object:
    """Turn nested named tuples into plain mappings and lists.

    :param shape: A named tuple, or anything that holds some.
    :returns: Mappings, lists and scalars that any codec takes.
    """
    if hasattr(shape, '_asdict'):
        return {name: encode(part) for name, part in shape._asdict().items()}
    if isinstance(shape, Mapping):
        return {str(name): encode(part) for name, part in shape.items()}
    if isinstance(shape, tuple | list | set | frozenset):
        return [encode(part) for part in shape]
    return shape


@functools.cache
def _hints(shape: Any) -> dict[str, Any]:
    return typing.get_type_hints(shape, include_extras=True)


def _defaults(shape: Any) -> dict[str, object]:
    return getattr(shape, '_field_defaults', {})


def _join(path: str, name: object) -> str:
    return f'{path}.{name}' if path else str(name)


def _unknown_fields(
    raw: Mapping[Any, object], hints: Mapping[str, Any], path: str
) -> list[Fault]:
    known = ', '.join(hints)
    return [
        Fault(_join(path, name), f'unknown field; known are {known}')
        for name in raw
        if name not in hints
    ]


def _decode_field(hint: Any, raw: object, path: str) -> Decoded[Any]:
    if _is_shape(hint):
        return decode(hint, raw, path)
    arguments = typing.get_args(hint)
    origin = typing.get_origin(hint)
    if origin is tuple and _is_shape(arguments[0]):
        return _decode_sequence(arguments[0], raw, path)
    if origin is dict and _is_shape(arguments[1]):
        return _decode_mapping(arguments[1], raw, path)
    return _decode_leaf(hint, raw, path)


def _is_shape(hint: object) -> bool:
    return isinstance(hint, type) and hasattr(hint, '_field_defaults')


def _decode_sequence(shape: Any, raw: object, path: str) -> Decoded[Any]:
    if not isinstance(raw, list | tuple):
        return Decoded(None, (Fault(path, 'a list'),))
    parts: list[Decoded[Any]] = [
        decode(shape, part, f'{path}[{position}]')
        for position, part in enumerate(raw)
    ]
    faults = tuple(fault for part in parts for fault in part.faults)
    return Decoded(tuple(part.shape for part in parts), faults)


def _decode_mapping(shape: Any, raw: object, path: str) -> Decoded[Any]:
    if not isinstance(raw, Mapping):
        return Decoded(None, (Fault(path, 'a mapping'),))
    parts: dict[str, Decoded[Any]] = {
        str(name): decode(shape, part, _join(path, name))
        for name, part in raw.items()
    }
    faults = tuple(fault for part in parts.values() for fault in part.faults)
    shapes = {name: part.shape for name, part in parts.items()}
    return Decoded(shapes, faults)


def _decode_leaf(hint: Any, raw: object, path: str) -> Decoded[Any]:
    try:
        leaf = msgspec.convert(raw, hint)
    except msgspec.ValidationError as error:
        return Decoded(None, (Fault(path, str(error)),))
    return Decoded(leaf, ())
