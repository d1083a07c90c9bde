"""Typed msgpack encoding of registered dataclasses."""

from collections.abc import Callable
from typing import Any, TypeVar

import msgpack
from pydantic import TypeAdapter, ValidationError

MessageT = TypeVar('MessageT')


class CodecError(ValueError):
    """The bytes do not decode to a valid message of a registered type."""


class Codec:
    """Codec that encodes registered dataclasses as ``[tag, fields]``.

    Decoding validates the fields.
    """

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
        """Return a registered message as ``[tag, fields]``."""
        tag = self._tags[type(message)]
        return [tag, self._adapters[tag].dump_python(message)]

    def encode_parts(self, message: object) -> bytes:
        """Encode the tag and the fields as two items of a longer list."""
        return b''.join(map(pack, self.to_wire(message)))

    def from_wire(self, wire_message: Any) -> Any:
        """Return the message that was encoded as ``[tag, fields]``."""
        try:
            tag, fields = wire_message
        except (TypeError, ValueError) as error:
            raise CodecError(f'{self._name}: expected [tag, fields]') from error
        adapter = self._adapters.get(tag) if isinstance(tag, str) else None
        if adapter is None:
            raise CodecError(f'{self._name}: unknown message tag {tag!r}')
        try:
            return adapter.validate_python(fields)
        except ValidationError as error:
            raise CodecError(
                f'{self._name}: invalid fields of {tag}'
            ) from error

    def encode(self, message: object) -> bytes:
        """Encode one message."""
        return pack(self.to_wire(message))

    def encode_all(self, messages: list[Any]) -> bytes:
        """Encode a list of messages."""
        return pack([self.to_wire(message) for message in messages])

    def decode(self, payload: bytes) -> Any:
        """Decode one message."""
        return self.from_wire(unpack(payload))

    def decode_all(self, payload: bytes) -> list[Any]:
        """Decode a list of messages."""
        wire_messages = unpack(payload)
        if not isinstance(wire_messages, list):
            raise CodecError(f'{self._name}: not a list of messages')
        return [self.from_wire(wire_message) for wire_message in wire_messages]


def pack(value: Any) -> bytes:
    """Encode ``value`` as msgpack."""
    return bytes(msgpack.packb(value, use_bin_type=True))


def list_header(size: int) -> bytes:
    """Return what precedes ``size`` encoded items to form a msgpack list."""
    return bytes(msgpack.Packer().pack_array_header(size))


def unpack(payload: bytes) -> Any:
    """Decode msgpack; raise ``CodecError`` if it is malformed."""
    try:
        return msgpack.unpackb(payload, raw=False)
    except (ValueError, msgpack.UnpackException) as error:
        raise CodecError('malformed msgpack') from error
