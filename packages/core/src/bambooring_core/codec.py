"""Turn message classes into Cap'n Proto bytes and back.

A message is a slotted data class. Its Cap'n Proto struct has the same name
and the same fields in camel case. A frame's type number names the class.
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


@dataclasses.dataclass(slots=True, kw_only=True)
class _Field:
    """Describe how one field is copied."""

    name: str
    wire_name: str
    item: '_Plan | None' = None
    is_list: bool = False
    enum_type: type[enum.StrEnum] | None = None

    @property
    def is_plain(self) -> bool:
        """Tell whether the value is taken as it is."""
        return not (self.item or self.is_list or self.enum_type)


@dataclasses.dataclass(slots=True, kw_only=True)
class _Plan:
    """Describe how one message class is copied."""

    message_class: type
    struct: typing.Any
    fields: list[_Field]
    plain: list[tuple[str, str]]
    special: list[_Field]
    type_id: int


_PLANS_BY_CLASS: dict[type, _Plan] = {}
_PLANS_BY_ID: dict[int, _Plan] = {}


def load_schema(path: str) -> typing.Any:
    """Load a schema file.

    :param path: the file's absolute path
    :returns: the module that holds the schema's structs
    """
    capnp.remove_import_hook()
    return capnp.load(path)


def register(
    schema: typing.Any, type_id: int = 0
) -> collections.abc.Callable[[type[T]], type[T]]:
    """Register a data class as a message.

    :param schema: the loaded schema with a struct of the class's name
    :param type_id: the frame type; 0 for a class only used inside others
    :returns: the class decorator
    """

    def decorate(message_class: type[T]) -> type[T]:
        plan = _make_plan(schema, message_class, type_id)
        _PLANS_BY_CLASS[message_class] = plan
        if type_id:
            if type_id in _PLANS_BY_ID:
                raise ValueError(f'frame type {type_id} is used twice')
            _PLANS_BY_ID[type_id] = plan
        return message_class

    return decorate


def _make_plan(schema: typing.Any, message_class: type, type_id: int) -> _Plan:
    hints = typing.get_type_hints(message_class)
    fields = [
        _make_field(field.name, hints[field.name])
        for field in dataclasses.fields(message_class)
    ]
    return _Plan(
        message_class=message_class,
        struct=getattr(schema, message_class.__name__),
        fields=fields,
        plain=[
            (field.name, field.wire_name) for field in fields if field.is_plain
        ],
        special=[field for field in fields if not field.is_plain],
        type_id=type_id,
    )


def _make_field(name: str, hint: typing.Any) -> _Field:
    head, *rest = name.split('_')
    wire_name = head + ''.join(part.title() for part in rest)
    field = _Field(name=name, wire_name=wire_name)
    if isinstance(hint, types.GenericAlias):
        field.is_list = True
        hint = hint.__args__[0]
    field.item = _PLANS_BY_CLASS.get(hint)
    if isinstance(hint, type) and issubclass(hint, enum.StrEnum):
        field.enum_type = hint
    return field


def _fill(builder: typing.Any, message: typing.Any, plan: _Plan) -> None:
    for field in plan.fields:
        value = getattr(message, field.name)
        if field.item is None:
            setattr(builder, field.wire_name, value)
        elif field.is_list:
            items = builder.init(field.wire_name, len(value))
            for index, item in enumerate(value):
                _fill(items[index], item, field.item)
        else:
            _fill(builder.init(field.wire_name), value, field.item)


def _read(reader: typing.Any, plan: _Plan) -> typing.Any:
    values = {
        name: getattr(reader, wire_name) for name, wire_name in plan.plain
    }
    for field in plan.special:
        value = getattr(reader, field.wire_name)
        values[field.name] = _convert(value, field)
    return plan.message_class(**values)


def _convert(value: typing.Any, field: _Field) -> typing.Any:
    item = field.item
    if item is None:
        if field.enum_type is not None:
            return field.enum_type(str(value))
        return list(value)
    if field.is_list:
        return [_read(entry, item) for entry in value]
    return _read(value, item)


def get_type_id(message: typing.Any) -> int:
    """Return the frame type of a message.

    :param message: an instance of a registered class
    :returns: its type
    :raises ValueError: if the class only goes inside others
    """
    type_id = _PLANS_BY_CLASS[type(message)].type_id
    if not type_id:
        raise ValueError(f'{type(message).__name__} has no frame type')
    return type_id


def encode(message: typing.Any) -> bytes:
    """Encode a message without its frame.

    :param message: an instance of a registered class
    :returns: the Cap'n Proto bytes
    """
    plan = _PLANS_BY_CLASS[type(message)]
    builder = plan.struct.new_message()
    _fill(builder, message, plan)
    return builder.to_bytes()


def decode(type_id: int, data: bytes) -> typing.Any:
    """Decode a message.

    :param type_id: the frame type
    :param data: the Cap'n Proto bytes
    :returns: an instance of the registered class
    :raises FrameError: if the bytes are not such a message
    """
    plan = _PLANS_BY_ID.get(type_id)
    if plan is None:
        raise errors.FrameError(f'unknown frame type {type_id}')
    try:
        with plan.struct.from_bytes(
            data, traversal_limit_in_words=_READ_LIMIT_WORDS
        ) as reader:
            return _read(reader, plan)
    except (capnp.KjException, ValueError) as error:
        raise errors.FrameError(str(error)) from error


def pack(message: typing.Any) -> bytes:
    """Encode a message with its type, to be kept as bytes.

    :param message: an instance of a registered class
    :returns: the type in two bytes and the Cap'n Proto bytes
    """
    return get_type_id(message).to_bytes(2, 'little') + encode(message)


def unpack(data: bytes) -> typing.Any:
    """Decode what :func:`pack` made.

    :param data: the bytes
    :returns: the message
    :raises FrameError: if the bytes are not such a message
    """
    return decode(int.from_bytes(data[:2], 'little'), data[2:])
