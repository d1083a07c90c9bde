"""Errors of the streams between entry VMs."""


class PeerError(Exception):
    """A peer gave no usable answer."""


class PeerUnreachable(PeerError):
    """No connection to the peer; the message was not sent."""


class PeerTimeout(PeerError):
    """The peer did not answer in time; it may have acted."""


class PeerRefused(PeerError):
    """The peer answered with an error."""


class HandshakeFailed(PeerError):
    """The other side has another key or protocol version."""
