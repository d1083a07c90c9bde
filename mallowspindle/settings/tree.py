"""Build the settings tree in force from the settings stream."""

from collections import OrderedDict
from dataclasses import dataclass

from mallowspindle.settings.document import parse_document
from mallowspindle.settings.documents import (
    ORGANISATION_DEPTH,
    Documents,
    token_hashes,
)
from mallowspindle.settings.errors import DocumentInvalid
from mallowspindle.settings.records import Change, DocumentState, Snapshot

NEVER_SET = -1
_MAX_DEPTH = 5
_MAX_CHANGE_RESULTS = 1000


@dataclass(frozen=True, slots=True)
class ChangeResult:
    """Whether a change was accepted; every node gets the same result."""

    change_id: str
    accepted: bool
    version: int
    reason: str = ''


class SettingsTree:
    """The documents in force after the records up to ``through``."""

    def __init__(self) -> None:
        self._through = NEVER_SET
        self._version = NEVER_SET
        self._documents = Documents()
        self._change_results: OrderedDict[str, ChangeResult] = OrderedDict()

    @property
    def through(self) -> int:
        """The offset of the last record applied."""
        return self._through

    @property
    def version(self) -> int:
        """The offset of the last accepted change."""
        return self._version

    @property
    def documents(self) -> Documents:
        """The documents in force."""
        return self._documents

    def change_result(self, change_id: str) -> ChangeResult | None:
        """Return the result of a recent change, or None if it is not known."""
        return self._change_results.get(change_id)

    def fold(self, offset: int, record: Change | Snapshot | None) -> None:
        """Apply the record at ``offset``; None stands for an invalid one.

        Records up to ``through`` are ignored. So are snapshots: they are only
        for readers that start later and call ``adopt``.
        """
        if offset <= self._through:
            return
        if (
            isinstance(record, Change)
            and record.change_id not in self._change_results
        ):
            self._apply_change(offset, record)
        self._through = offset

    def adopt(self, snapshot: Snapshot) -> bool:
        """Replace the state by a snapshot; return False if it isn't newer."""
        if snapshot.through <= self._through:
            return False
        self._documents.clear()
        self._documents.put(snapshot.nodes)
        self._through = snapshot.through
        self._version = snapshot.version
        for change_id in snapshot.recent_change_ids:
            self._change_results.setdefault(
                change_id,
                ChangeResult(change_id, False, NEVER_SET, 'repeated'),
            )
        return True

    def snapshot(self) -> Snapshot:
        """Return the whole state as a record."""
        return Snapshot(
            through=self._through,
            version=self._version,
            nodes=list(self._documents.nodes.values()),
            recent_change_ids=list(self._change_results),
        )

    def path_version(self, path: str) -> int:
        """Return the version of a path, or ``NEVER_SET``."""
        node = self._documents.nodes.get(path)
        return node.version if node else NEVER_SET

    def _apply_change(self, offset: int, change: Change) -> None:
        reason = self._refusal_reason(change)
        accepted = not reason
        if accepted:
            state = DocumentState(
                path=change.path,
                version=offset,
                document=change.document,
                author=change.author,
                at_s=change.at_s,
            )
            self._documents.put([state])
            self._version = offset
        self._change_results[change.change_id] = ChangeResult(
            change.change_id, accepted, offset, reason
        )
        while len(self._change_results) > _MAX_CHANGE_RESULTS:
            self._change_results.popitem(last=False)

    def _refusal_reason(self, change: Change) -> str:
        parts = change.path.split('/')
        if len(parts) > _MAX_DEPTH or not all(parts):
            return f'{change.path!r} is not a path of 1 to {_MAX_DEPTH} names'
        current = self.path_version(change.path)
        if change.base != current:
            return f'based on version {change.base}, but {current} is in force'
        return self._document_refusal_reason(change)

    def _document_refusal_reason(self, change: Change) -> str:
        try:
            hashes = token_hashes(parse_document(change.document))
        except DocumentInvalid as error:
            return str(error)
        if hashes and change.path.count('/') != ORGANISATION_DEPTH - 1:
            return 'tokens belong to venture/partner/organisation paths'
        paths_by_token = self._documents.token_paths
        holders = {paths_by_token.get(token, change.path) for token in hashes}
        other_paths = sorted(holders - {change.path})
        return (
            f'a token belongs to {", ".join(other_paths)} already'
            if other_paths
            else ''
        )
