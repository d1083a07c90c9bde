"""Look up settings by path; options are inherited from parent paths."""

from collections.abc import Iterable
from dataclasses import dataclass
from decimal import Decimal
from hashlib import sha256

from mallowspindle.settings import document as rules
from mallowspindle.settings.document import Sections
from mallowspindle.settings.records import DocumentState

ORGANISATION_DEPTH = 3


@dataclass(frozen=True, slots=True)
class Split:
    """Share of each partner in percent, and the version that set them."""

    version: int
    shares: dict[str, Decimal]


@dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation with its own and its inherited options."""

    name: str
    path: str
    access: rules.AccessSection
    limits: rules.LimitsSection
    accounting: rules.AccountingSection
    weight: float


class Documents:
    """The documents in force by path.

    Each option has the value that the nearest ancestor sets, or the path
    itself.
    """

    def __init__(self) -> None:
        self._nodes: dict[str, DocumentState] = {}
        self._sections: dict[str, Sections] = {}
        self._token_paths: dict[str, str] = {}

    @property
    def nodes(self) -> dict[str, DocumentState]:
        """The documents by path."""
        return self._nodes

    @property
    def token_paths(self) -> dict[str, str]:
        """The organisation's path for each token hash."""
        return self._token_paths

    def put(self, nodes: Iterable[DocumentState]) -> None:
        """Add or replace documents, each of which must be valid."""
        for node in nodes:
            self._nodes[node.path] = node
            self._sections[node.path] = rules.parse_document(node.document)
        self._token_paths = {
            token_hash: path
            for path, sections in self._sections.items()
            for token_hash in token_hashes(sections)
        }

    def clear(self) -> None:
        """Remove all documents."""
        self._nodes.clear()
        self._sections.clear()

    def organisation_of_token(self, token: str) -> Organisation | None:
        """Return the organisation to which a caller's token belongs, if any."""
        path = self._token_paths.get(sha256(token.encode()).hexdigest())
        return None if path is None else self.organisation(path)

    def organisation(self, path: str) -> Organisation:
        """Return the organisation at ``path``, inherited options included."""
        organisation_options = rules.OrganisationSection.model_validate(
            self.options(path, 'organisation')
        )
        return Organisation(
            name=path.rsplit('/', 1)[-1],
            path=path,
            access=rules.AccessSection.model_validate(
                self.options(path, 'access')
            ),
            limits=rules.LimitsSection.model_validate(
                self.options(path, 'limits')
            ),
            accounting=rules.AccountingSection.model_validate(
                self.options(path, 'accounting')
            ),
            weight=organisation_options.weight,
        )

    def service(self, path: str, name: str) -> rules.ServiceSection:
        """Return the options of a plain service for an organisation."""
        options = self.options(path, f'{rules.SERVICE_PREFIX}{name}')
        return rules.ServiceSection.model_validate(options)

    def split(self, path: str) -> Split | None:
        """Return the split in force at ``path``, or None if there is none.

        The nearest split counts as a whole: shares are not merged.
        """
        for ancestor in reversed(ancestors(path)):
            options = self._sections.get(ancestor, {}).get(rules.SPLIT)
            if options:
                version = self._nodes[ancestor].version
                return Split(version, rules.parse_shares(options))
        return None

    def options(self, path: str, section: str) -> dict[str, str]:
        """Return the options of a section, inherited ones included."""
        merged: dict[str, str] = {}
        for ancestor in ancestors(path):
            merged.update(self._sections.get(ancestor, {}).get(section, {}))
        return merged


def ancestors(path: str) -> list[str]:
    """Return the path's ancestors from the root down, then the path."""
    parts = path.split('/')
    return ['/'.join(parts[: depth + 1]) for depth in range(len(parts))]


def token_hashes(sections: Sections) -> list[str]:
    """Return the token hashes that a document holds."""
    return sections.get('organisation', {}).get('token_sha256', '').split()
