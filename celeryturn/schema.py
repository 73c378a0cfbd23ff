"""Decode plain mappings into named tuples, reporting every fault at once.

The same decoder serves settings, configuration documents, request bodies and
peer messages.  ``msgspec`` validates each leaf; this module walks the nested
named tuples so that one invalid field does not hide another.
"""

import functools
import typing
from collections.abc import Mapping
from typing import Any, Final, Generic, NamedTuple, TypeVar

import msgspec

from celeryturn.errors import Fault

SchemaT = TypeVar('SchemaT')

# What a decoder of received bytes raises if it cannot read them.
UNREADABLE_ERRORS: Final = (
    msgspec.DecodeError,
    UnicodeDecodeError,
    RecursionError,
)

_MISSING: Final = object()


class DecodeResult(NamedTuple, Generic[SchemaT]):
    """Result of decoding.

    :param parsed: The decoded value, or ``None`` if it has faults.
    :param faults: Every fault found.
    """

    parsed: SchemaT | None
    faults: tuple[Fault, ...]


def decode(
    schema: type[SchemaT], raw: object, path: str = ''
) -> DecodeResult[SchemaT]:
    """Decode a mapping into a named tuple.

    :param schema: The named tuple class; its annotations are the schema.
    :param raw: What a YAML, JSON or CBOR parser returned.
    :param path: Dotted path of ``raw`` in the whole input.
    :returns: The decoded named tuple, or all its faults.
    """
    if not isinstance(raw, Mapping):
        kind = type(raw).__name__
        return DecodeResult(
            None, (Fault(path or '.', f'must be a mapping, got {kind}'),)
        )
    hints = _field_types(typing.cast('Any', schema))
    faults = _unknown_fields(raw, hints, path)
    fields = {}
    for name, hint in hints.items():
        raw_field = raw.get(name, _MISSING)
        if raw_field is not _MISSING:
            decoded = _decode_field(hint, raw_field, _join(path, name))
            fields[name] = decoded.parsed
            faults.extend(decoded.faults)
        elif name not in _defaults(schema):
            faults.append(Fault(_join(path, name), 'is required'))
    if faults:
        return DecodeResult(None, tuple(faults))
    return DecodeResult(schema(**fields), ())


def encode(structure: object) -> object:
    """Convert nested named tuples to plain mappings and lists.

    :param structure: A named tuple, or a container of named tuples.
    :returns: Mappings, lists and scalars that any codec accepts.
    """
    if hasattr(structure, '_asdict'):
        return {
            name: encode(part) for name, part in structure._asdict().items()
        }
    if isinstance(structure, Mapping):
        return {str(name): encode(part) for name, part in structure.items()}
    if isinstance(structure, tuple | list | set | frozenset):
        return [encode(part) for part in structure]
    return structure


def drop_unknown_fields(schema: Any, raw: object) -> object:
    """Drop what a later build appended to the fields of named tuples.

    :param schema: The named tuple class, or a type that contains some.
    :param raw: Fields in order, in nested lists.
    :returns: The fields that the classes define.
    """
    if not isinstance(raw, list):
        return raw
    if _is_named_tuple(schema):
        hints = _field_types(schema).values()
        return [
            drop_unknown_fields(hint, part)
            for hint, part in zip(hints, raw, strict=False)
        ]
    arguments = typing.get_args(schema)
    if typing.get_origin(schema) is tuple and _is_named_tuple(arguments[0]):
        return [drop_unknown_fields(arguments[0], part) for part in raw]
    return raw


@functools.cache
def _field_types(schema: Any) -> dict[str, Any]:
    return typing.get_type_hints(schema, include_extras=True)


def _defaults(schema: Any) -> dict[str, object]:
    return getattr(schema, '_field_defaults', {})


def _join(path: str, name: object) -> str:
    return f'{path}.{name}' if path else str(name)


def _unknown_fields(
    raw: Mapping[Any, object], hints: Mapping[str, Any], path: str
) -> list[Fault]:
    known = ', '.join(hints)
    return [
        Fault(_join(path, name), f'unknown field; known fields are {known}')
        for name in raw
        if name not in hints
    ]


def _decode_field(hint: Any, raw: object, path: str) -> DecodeResult[Any]:
    if _is_named_tuple(hint):
        return decode(hint, raw, path)
    arguments = typing.get_args(hint)
    origin = typing.get_origin(hint)
    if origin is tuple and _is_named_tuple(arguments[0]):
        return _decode_sequence(arguments[0], raw, path)
    if origin is dict and _is_named_tuple(arguments[1]):
        return _decode_mapping(arguments[1], raw, path)
    return _decode_leaf(hint, raw, path)


def _is_named_tuple(hint: object) -> bool:
    return isinstance(hint, type) and hasattr(hint, '_field_defaults')


def _decode_sequence(schema: Any, raw: object, path: str) -> DecodeResult[Any]:
    if not isinstance(raw, list | tuple):
        return DecodeResult(None, (Fault(path, 'must be a list'),))
    parts: list[DecodeResult[Any]] = [
        decode(schema, part, f'{path}[{position}]')
        for position, part in enumerate(raw)
    ]
    faults = tuple(fault for part in parts for fault in part.faults)
    return DecodeResult(tuple(part.parsed for part in parts), faults)


def _decode_mapping(schema: Any, raw: object, path: str) -> DecodeResult[Any]:
    if not isinstance(raw, Mapping):
        return DecodeResult(None, (Fault(path, 'must be a mapping'),))
    parts: dict[str, DecodeResult[Any]] = {
        str(name): decode(schema, part, _join(path, name))
        for name, part in raw.items()
    }
    faults = tuple(fault for part in parts.values() for fault in part.faults)
    decoded_parts = {name: part.parsed for name, part in parts.items()}
    return DecodeResult(decoded_parts, faults)


def _decode_leaf(hint: Any, raw: object, path: str) -> DecodeResult[Any]:
    try:
        leaf = msgspec.convert(raw, hint)
    except msgspec.ValidationError as error:
        return DecodeResult(None, (Fault(path, str(error)),))
    return DecodeResult(leaf, ())
