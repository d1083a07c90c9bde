"""Typed msgpack encoding of registered dataclasses."""

from collections.abc import Callable
from typing import Any, TypeVar

import msgpack
from pydantic import TypeAdapter, ValidationError

MessageT = TypeVar('MessageT')


class CodecError(ValueError):
    """Bytes that do not decode to a registered, valid message."""


class Codec:
    """Encodes dataclasses as ``[tag, fields]`` and validates on decoding."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._adapters: dict[str, TypeAdapter[Any]] = {}
        self._tags: dict[type, str] = {}

    def register(self, tag: str) -> Callable[[type[MessageT]], type[MessageT]]:
        """Return a decorator that registers a dataclass under ``tag``."""

        def decorate(cls: type[MessageT]) -> type[MessageT]:
            self._adapters[tag] = TypeAdapter(cls)
            self._tags[cls] = tag
            return cls

        return decorate

    def to_wire(self, message: object) -> list[Any]:
        """Return the ``[tag, fields]`` shape of a registered message."""
        tag = self._tags[type(message)]
        return [tag, self._adapters[tag].dump_python(message)]

    def from_wire(self, wire: Any) -> Any:
        """Return the message of a ``[tag, fields]`` shape."""
        try:
            tag, fields = wire
        except (TypeError, ValueError) as error:
            raise CodecError(f'{self._name}: not a message') from error
        adapter = self._adapters.get(tag) if isinstance(tag, str) else None
        if adapter is None:
            raise CodecError(f'{self._name}: unknown message tag {tag!r}')
        try:
            return adapter.validate_python(fields)
        except ValidationError as error:
            raise CodecError(f'{self._name}: invalid {tag}') from error

    def encode(self, message: object) -> bytes:
        """Return the bytes of one message."""
        return pack(self.to_wire(message))

    def encode_all(self, messages: list[Any]) -> bytes:
        """Return the bytes of a list of messages."""
        return pack([self.to_wire(message) for message in messages])

    def decode(self, payload: bytes) -> Any:
        """Return the message in ``payload``."""
        return self.from_wire(unpack(payload))

    def decode_all(self, payload: bytes) -> list[Any]:
        """Return the messages in ``payload``."""
        wires = unpack(payload)
        if not isinstance(wires, list):
            raise CodecError(f'{self._name}: not a list of messages')
        return [self.from_wire(wire) for wire in wires]


def pack(value: Any) -> bytes:
    """Return ``value`` as msgpack bytes."""
    return bytes(msgpack.packb(value, use_bin_type=True))


def unpack(payload: bytes) -> Any:
    """Return the value of msgpack bytes; ``CodecError`` if malformed."""
    try:
        return msgpack.unpackb(payload, raw=False)
    except (ValueError, msgpack.UnpackException) as error:
        raise CodecError('malformed msgpack') from error
