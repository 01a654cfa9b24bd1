"""Encoding of typed messages as msgpack arrays."""

from __future__ import annotations

from collections.abc import Set
from dataclasses import fields, is_dataclass
from typing import TYPE_CHECKING, Any, TypeVar, cast, get_type_hints

import msgpack
from cattrs import Converter

from ..model.configuration import Change
from ..model.errors import CoreError
from ..model.messages import Message
from ..model.records import Record

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar("T")


class CodecError(CoreError):
    """Bytes don't decode to the expected type."""


_converter = Converter(
    detailed_validation=False, unstruct_collection_overrides={Set: sorted}
)

_class_by_name: dict[str, type] = {}
"""Members of the registered unions."""


def _list_types(kind: type) -> list[Any]:
    hints = get_type_hints(kind)
    return [hints[item.name] for item in fields(kind)]


def _make_unstructure(kind: type) -> Callable[[Any], list[Any]]:
    """Build a function that turns a data class into a list of its fields."""
    names = [item.name for item in fields(kind)]
    hooks = [_converter.get_unstructure_hook(item) for item in _list_types(kind)]
    pairs = list(zip(names, hooks, strict=True))

    def unstructure_fields(value: Any) -> list[Any]:
        return [hook(getattr(value, name)) for name, hook in pairs]

    return unstructure_fields


def _make_structure(kind: type) -> Callable[[Any, Any], Any]:
    """Build a function that makes a data class from a list of its fields."""
    types = _list_types(kind)
    hooks = [_converter.get_structure_hook(item) for item in types]
    pairs = list(zip(hooks, types, strict=True))

    def structure_fields(plain: Any, _: Any) -> Any:
        if len(plain) > len(pairs):
            raise CodecError(f"{kind.__name__} has {len(pairs)} fields")
        items = zip(plain, pairs, strict=False)
        return kind(*[hook(item, declared) for item, (hook, declared) in items])

    return structure_fields


_converter.register_unstructure_hook_factory(is_dataclass, _make_unstructure)
_converter.register_structure_hook_factory(is_dataclass, _make_structure)


def _register_union(union: Any) -> None:
    """Encode members of a union as ``[class name, [fields...]]``."""
    hook_by_class: dict[type, Callable[[Any], list[Any]]] = {}
    structure_by_name: dict[str, Callable[[Any, Any], Any]] = {}
    for member in union.__args__:
        hook_by_class[member] = _converter.get_unstructure_hook(member)
        structure_by_name[member.__name__] = _converter.get_structure_hook(member)
        _class_by_name[member.__name__] = member

    def unstructure_member(value: object) -> list[Any]:
        kind = type(value)
        return [kind.__name__, hook_by_class[kind](value)]

    def structure_member(plain: Any, _: Any) -> Any:
        name, values = plain
        return structure_by_name[name](values, _class_by_name[name])

    _converter.register_unstructure_hook_func(
        lambda kind: kind == union, unstructure_member
    )
    _converter.register_structure_hook_func(
        lambda kind: kind == union, structure_member
    )


def encode(value: object, declared: Any) -> bytes:
    """Encode a value as the declared type.

    :param declared: the class or union that the reader will name
    """
    return cast("bytes", msgpack.packb(unstructure(value, declared)))


def decode(data: bytes, declared: type[T]) -> T:
    """Decode bytes into the declared type.

    :raises CodecError: if the bytes don't describe such a value
    """
    try:
        plain = msgpack.unpackb(data, strict_map_key=False)
    except (msgpack.UnpackException, ValueError) as error:
        raise CodecError(f"not msgpack: {error}") from error
    return structure(plain, declared)


def structure(plain: object, declared: type[T]) -> T:
    """Build the declared type from plain lists, maps and scalars.

    :raises CodecError: if the value has another shape
    """
    try:
        return _converter.structure(plain, declared)
    except Exception as error:
        raise CodecError(f"not a {declared}: {error}") from error


def unstructure(value: object, declared: Any) -> Any:
    """Return plain lists, maps and scalars for a value."""
    return _converter.unstructure(value, unstructure_as=declared)


for _union in (Change, Record, Message):
    _register_union(_union)
