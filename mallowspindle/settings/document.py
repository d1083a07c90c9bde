"""Sections of one document in the settings tree, and their validation."""

from decimal import Decimal, InvalidOperation
from types import MappingProxyType
from typing import Annotated, Any, Literal

from pydantic import BeforeValidator, Field, TypeAdapter, ValidationError

from mallowspindle.config.common import WordList
from mallowspindle.config.errors import ConfigError, Problem
from mallowspindle.config.ini import Section, parse_sections, problems_of
from mallowspindle.settings.errors import DocumentInvalid

SERVICE_PREFIX = 'service:'
SPLIT = 'split'
_FULL_PERCENT = Decimal(100)
_SHA256_HEX = r'^[0-9a-f]{64}$'

Sections = dict[str, dict[str, str]]
TokenHash = Annotated[str, Field(pattern=_SHA256_HEX)]


class OrganisationSection(Section):
    """SHA-256 of the organisation's tokens, and its weight among others."""

    token_sha256: Annotated[
        list[TokenHash],
        BeforeValidator(lambda text: text.split()),
    ] = Field(default_factory=list)
    weight: float = Field(1.0, gt=0)


class AccessSection(Section):
    """Services and models that may be used; ``*`` allows all."""

    services: WordList = Field(default_factory=list)
    models: WordList = Field(default_factory=list)


class LimitsSection(Section):
    """Limits of one organisation, summed over all entry VMs."""

    requests_per_s: float = Field(0, ge=0)
    requests_in_progress: int = Field(0, ge=0)


class AccountingSection(Section):
    """Who pays for tokens that engines recompute after a reclaim."""

    recompute_payer: str = SPLIT


class ServiceSection(Section):
    """Options of calls to a plain service."""

    idempotency_key: str = Field(
        'header', pattern=r'^(none|header|body:[A-Za-z0-9_.-]+)$'
    )
    key_required: bool = True
    refusal_means_not_run: bool = False
    pay_per_call_micro: int = Field(0, ge=0)
    kind: Literal['plain'] = 'plain'


_SECTION_ADAPTERS: MappingProxyType[str, TypeAdapter[Any]] = MappingProxyType(
    {
        'organisation': TypeAdapter(OrganisationSection),
        'access': TypeAdapter(AccessSection),
        'limits': TypeAdapter(LimitsSection),
        'accounting': TypeAdapter(AccountingSection),
    }
)
_SERVICE_ADAPTER: TypeAdapter[Any] = TypeAdapter(ServiceSection)


def parse_document(text: str) -> Sections:
    """Return the sections of a document.

    Raises ``DocumentInvalid`` with all problems if the document is invalid.
    """
    try:
        sections = parse_sections(text)
    except ConfigError as error:
        raise DocumentInvalid(str(error)) from error
    problems = [
        problem
        for name, options in sections.items()
        for problem in _section_problems(name, options)
    ]
    if problems:
        raise DocumentInvalid('\n'.join(str(problem) for problem in problems))
    return sections


def parse_shares(options: dict[str, str]) -> dict[str, Decimal]:
    """Return the share of each partner in percent.

    Raises ``DocumentInvalid`` if a share is not a number of 0 or more, or if
    the shares don't add up to exactly 100.
    """
    try:
        shares = {name: Decimal(text) for name, text in options.items()}
    except InvalidOperation as error:
        raise DocumentInvalid('[split]: a share is not a number') from error
    if not all(share.is_finite() and share >= 0 for share in shares.values()):
        raise DocumentInvalid('[split]: shares must be 0 or more')
    total = sum(shares.values(), Decimal(0))
    if total != _FULL_PERCENT:
        raise DocumentInvalid(f'[split]: shares add up to {total}, not 100')
    return shares


def _section_problems(name: str, options: dict[str, str]) -> list[Problem]:
    if name == SPLIT:
        return _split_problems(options)
    adapter = _SERVICE_ADAPTER if name.startswith(SERVICE_PREFIX) else None
    adapter = adapter or _SECTION_ADAPTERS.get(name)
    if adapter is None:
        return [Problem(name, '-', 'unknown section')]
    try:
        adapter.validate_python(options)
    except ValidationError as error:
        return [
            Problem(name, problem.section, problem.text)
            for problem in problems_of(error)
        ]
    return []


def _split_problems(options: dict[str, str]) -> list[Problem]:
    try:
        parse_shares(options)
    except DocumentInvalid as error:
        return [Problem(SPLIT, '-', str(error))]
    return []
