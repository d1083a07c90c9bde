"""Passes requests on through a peer that reaches their service."""

import hmac
import random
from collections.abc import Collection
from dataclasses import replace
from urllib.parse import quote, unquote

from multidict import CIMultiDict

from mallowspindle.membership.messages import MemberInfo
from mallowspindle.proxy.messages import CallerRequest
from mallowspindle.sharing.service import SharingService
from mallowspindle.streams.records import StreamOrigin

# Header of requests that a peer passes on: its name and a proof that it holds
# the key that all entry VMs share. It never reaches a server.
_RELAY_HEADER = 'Mallowspindle-Relay'
# Header of such requests: how often they may run at the peer. Older builds send
# none.
_MAX_RUNS_HEADER = 'Mallowspindle-Max-Runs'
# Header of such requests and of their responses: the service and the software
# version that have begun the stream. It never reaches a server or a caller.
_ORIGIN_HEADER = 'Mallowspindle-Stream-Origin'
_PROOF_CHARS = 32


class PeerRelays:
    """Chooses peers to pass requests on, and recognises what they passed on."""

    def __init__(self, sharing: SharingService, shared_key: bytes) -> None:
        self._sharing = sharing
        self._key = shared_key

    def choose(
        self, service_name: str, avoid: Collection[str]
    ) -> MemberInfo | None:
        """Return a peer that reaches a service; None if none is known.

        It is the less busy of two random ones, so that few peers share the
        requests of many nodes.
        """
        not_reaching = self._sharing.peer_work().not_reached
        reaching = [
            info
            for info in self._sharing.peers()
            if info.http_address
            and not info.leaving
            and info.name not in avoid
            and service_name not in not_reaching.get(info.name, ())
        ]
        if not reaching:
            return None
        drawn = random.sample(reaching, min(2, len(reaching)))
        return min(drawn, key=lambda info: info.in_progress)

    def sign(
        self, request_id: str, origin: StreamOrigin | None = None
    ) -> dict[str, str]:
        """Return the headers with which a request is passed on.

        ``origin`` tells where its stream has begun, if it has.
        """
        name = self._sharing.membership.own.name
        return {
            _RELAY_HEADER: f'{name} {self._proof(name, request_id)}',
            # The first node counts the runs of all attempts, so each peer gets
            # one; a peer that is lost can't have used more.
            _MAX_RUNS_HEADER: '1',
            **self.origin_headers(origin),
        }

    def accept(self, request: CallerRequest) -> CallerRequest:
        """Return a request without the headers, and with its sender if proved.

        A caller's own headers are dropped: they would escape the quota.
        """
        origin = self.take_origin(request.headers)
        max_runs = _take(request.headers, _MAX_RUNS_HEADER)
        text = _take(request.headers, _RELAY_HEADER)
        if text is None:
            return request
        name, _, proof = text.partition(' ')
        expected = self._proof(name, request.request_id)
        if not hmac.compare_digest(proof.encode(), expected.encode()):
            return request
        return replace(
            request,
            relayed_by=name,
            origin=origin,
            max_runs=1 if max_runs == '1' else None,
        )

    def origin_headers(self, origin: StreamOrigin | None) -> dict[str, str]:
        """Return the header that tells a peer where a stream has begun."""
        if origin is None:
            return {}
        fields = (origin.service, origin.software_version)
        return {_ORIGIN_HEADER: ' '.join(quote(text, '') for text in fields)}

    def take_origin(self, headers: CIMultiDict[str]) -> StreamOrigin | None:
        """Remove the header that tells where a stream has begun; decode it."""
        text = _take(headers, _ORIGIN_HEADER)
        if text is None or text.count(' ') != 1:
            return None
        return StreamOrigin(*map(unquote, text.split(' ')))

    def _proof(self, name: str, request_id: str) -> str:
        digest = hmac.new(self._key, f'{name} {request_id}'.encode(), 'sha256')
        return digest.hexdigest()[:_PROOF_CHARS]


def _take(headers: CIMultiDict[str], name: str) -> str | None:
    """Remove all values of a header; return the first one."""
    values = headers.popall(name, [])
    return values[0] if values else None
