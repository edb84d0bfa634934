"""Encode message classes as Cap'n Proto bytes and decode them.

A message is a slotted data class. Its Cap'n Proto struct has the same name
and the same fields in camel case. A frame's type number identifies the
class.
"""

import collections.abc
import dataclasses
import enum
import types
import typing

import capnp

from bambooring_core import errors

T = typing.TypeVar('T')

_READ_LIMIT_WORDS = 64 * 1024 * 1024

# The library raises RuntimeError for an enumerant that the schema lacks.
_INVALID_MESSAGE = (capnp.KjException, ValueError, RuntimeError)


@dataclasses.dataclass(slots=True, kw_only=True)
class _FieldLayout:
    """How one field is copied between a message and its struct.

    ``item_layout`` is the layout of a nested message, or of each list item.
    """

    name: str
    wire_name: str
    item_layout: '_MessageLayout | None' = None
    is_list: bool = False
    enum_type: type[enum.StrEnum] | None = None

    @property
    def is_copied_directly(self) -> bool:
        """Return whether a decoded value is used without conversion."""
        return not (self.item_layout or self.is_list or self.enum_type)


@dataclasses.dataclass(slots=True, kw_only=True)
class _MessageLayout:
    """How one message class is copied to and from its struct.

    ``plain_fields`` are the Python and wire names of the fields that are
    copied directly, ``converted_fields`` all others. ``type_id`` is 0 for a
    class that is only nested in others.
    """

    message_class: type
    struct: typing.Any
    fields: list[_FieldLayout]
    plain_fields: list[tuple[str, str]]
    converted_fields: list[_FieldLayout]
    type_id: int


_LAYOUTS_BY_CLASS: dict[type, _MessageLayout] = {}
_LAYOUTS_BY_ID: dict[int, _MessageLayout] = {}


def load_schema(path: str) -> typing.Any:
    """Load a schema file.

    :param path: the absolute path of the file
    :returns: the module that has the schema's structs as attributes
    """
    capnp.remove_import_hook()
    return capnp.load(path)


def register(
    schema: typing.Any, type_id: int = 0
) -> collections.abc.Callable[[type[T]], type[T]]:
    """Register a data class as a message.

    :param schema: the loaded schema, with a struct of the same name
    :param type_id: the frame type; 0 for a class that is only nested in others
    :returns: the class decorator
    """

    def decorate(message_class: type[T]) -> type[T]:
        layout = _make_message_layout(schema, message_class, type_id)
        _LAYOUTS_BY_CLASS[message_class] = layout
        if type_id:
            if type_id in _LAYOUTS_BY_ID:
                raise ValueError(f'frame type {type_id} is already registered')
            _LAYOUTS_BY_ID[type_id] = layout
        return message_class

    return decorate


def _make_message_layout(
    schema: typing.Any, message_class: type, type_id: int
) -> _MessageLayout:
    hints = typing.get_type_hints(message_class)
    fields = [
        _make_field_layout(field.name, hints[field.name])
        for field in dataclasses.fields(message_class)
    ]
    return _MessageLayout(
        message_class=message_class,
        struct=getattr(schema, message_class.__name__),
        fields=fields,
        plain_fields=[
            (field.name, field.wire_name)
            for field in fields
            if field.is_copied_directly
        ],
        converted_fields=[
            field for field in fields if not field.is_copied_directly
        ],
        type_id=type_id,
    )


def _make_field_layout(name: str, hint: typing.Any) -> _FieldLayout:
    first_part, *other_parts = name.split('_')
    wire_name = first_part + ''.join(part.title() for part in other_parts)
    field = _FieldLayout(name=name, wire_name=wire_name)
    if isinstance(hint, types.GenericAlias):
        field.is_list = True
        hint = hint.__args__[0]
    field.item_layout = _LAYOUTS_BY_CLASS.get(hint)
    if isinstance(hint, type) and issubclass(hint, enum.StrEnum):
        field.enum_type = hint
    return field


def _fill_builder(
    builder: typing.Any, message: typing.Any, layout: _MessageLayout
) -> None:
    for field in layout.fields:
        value = getattr(message, field.name)
        if field.item_layout is None:
            setattr(builder, field.wire_name, value)
        elif field.is_list:
            items = builder.init(field.wire_name, len(value))
            for index, item in enumerate(value):
                _fill_builder(items[index], item, field.item_layout)
        else:
            _fill_builder(
                builder.init(field.wire_name), value, field.item_layout
            )


def _read_message(reader: typing.Any, layout: _MessageLayout) -> typing.Any:
    values = {
        name: getattr(reader, wire_name)
        for name, wire_name in layout.plain_fields
    }
    for field in layout.converted_fields:
        value = getattr(reader, field.wire_name)
        values[field.name] = _convert_value(value, field)
    return layout.message_class(**values)


def _convert_value(value: typing.Any, field: _FieldLayout) -> typing.Any:
    item_layout = field.item_layout
    if item_layout is None:
        if field.enum_type is not None:
            return field.enum_type(str(value))
        return list(value)
    if field.is_list:
        return [_read_message(item, item_layout) for item in value]
    return _read_message(value, item_layout)


def get_type_id(message: typing.Any) -> int:
    """Return the frame type of a message.

    :param message: an instance of a registered class
    :raises ValueError: if the class is only nested in others
    """
    type_id = _LAYOUTS_BY_CLASS[type(message)].type_id
    if not type_id:
        raise ValueError(f'{type(message).__name__} has no frame type')
    return type_id


def _get_layout(type_id: int) -> _MessageLayout:
    layout = _LAYOUTS_BY_ID.get(type_id)
    if layout is None:
        raise errors.FrameError(f'unknown frame type {type_id}')
    return layout


def _build(message: typing.Any) -> typing.Any:
    """Return the Cap'n Proto builder of a message."""
    layout = _LAYOUTS_BY_CLASS[type(message)]
    builder = layout.struct.new_message()
    _fill_builder(builder, message, layout)
    return builder


def encode(message: typing.Any) -> bytes:
    """Encode a message without a frame header.

    :param message: an instance of a registered class
    :returns: the Cap'n Proto bytes
    """
    return _build(message).to_bytes()


def decode(type_id: int, data: bytes) -> typing.Any:
    """Decode a message.

    :param type_id: the frame type
    :param data: the Cap'n Proto bytes
    :returns: an instance of the registered class
    :raises FrameError: if the bytes are not a valid message
    """
    layout = _get_layout(type_id)
    try:
        with layout.struct.from_bytes(
            data, traversal_limit_in_words=_READ_LIMIT_WORDS
        ) as reader:
            return _read_message(reader, layout)
    except _INVALID_MESSAGE as error:
        raise errors.FrameError(str(error)) from error


def pack(message: typing.Any) -> bytes:
    """Encode a message with its type, for storing or embedding it.

    :param message: an instance of a registered class
    :returns: the type as two bytes, then the Cap'n Proto bytes
    """
    return get_type_id(message).to_bytes(2, 'little') + encode(message)


def unpack(data: bytes) -> typing.Any:
    """Decode the result of :func:`pack`.

    :param data: the packed bytes
    :returns: the message
    :raises FrameError: if the bytes are not a valid message
    """
    return decode(int.from_bytes(data[:2], 'little'), data[2:])


def pack_dense(message: typing.Any) -> bytes:
    """Encode a message with its type in Cap'n Proto's packed encoding.

    It leaves out zero bytes, which takes more time than :func:`pack` and less
    space. Used where each byte counts, as in datagrams.

    :param message: an instance of a registered class
    :returns: the type as two bytes, then the packed bytes
    """
    type_id = get_type_id(message).to_bytes(2, 'little')
    return type_id + _build(message).to_bytes_packed()


def unpack_dense(data: bytes) -> typing.Any:
    """Decode the result of :func:`pack_dense`.

    :param data: the packed bytes
    :returns: the message
    :raises FrameError: if the bytes are not a valid message
    """
    layout = _get_layout(int.from_bytes(data[:2], 'little'))
    try:
        reader = layout.struct.from_bytes_packed(
            data[2:], traversal_limit_in_words=_READ_LIMIT_WORDS
        )
        return _read_message(reader, layout)
    except _INVALID_MESSAGE as error:
        raise errors.FrameError(str(error)) from error
