"""Generate the settings page of the user guide from the models.

``python -m mallowspindle.config.reference`` prints the page.
"""

import sys
from itertools import chain
from typing import Any

from pydantic import BaseModel
from pydantic_core import PydanticUndefined

from mallowspindle.config.native import NativeSettings
from mallowspindle.config.operator import OperatorSettings
from mallowspindle.config.platform import PlatformSettings
from mallowspindle.settings import document

_PAGE_HEAD = """# Settings

This page is generated: `python -m mallowspindle.config.reference`.

Files are INI. Unknown sections and options are refused, and every problem is
reported at once with its section and option; the exit code is then 2.
`mallowspindled --settings FILE --check-settings` checks a file.
"""

_TREE_SECTIONS = (
    ('organisation', document.OrganisationSection),
    ('access', document.AccessSection),
    ('limits', document.LimitsSection),
    ('accounting', document.AccountingSection),
    ('service:NAME', document.ServiceSection),
)
_TREE_HEAD = """
## The settings tree (`mallowspindle settings set`)

Paths are `venture/partner/organisation/service/model`, each with an INI
document; for each option the value nearest to the path wins.

### `[split]`

One option for each partner: its share in percent. Shares add up to exactly
100. The nearest `[split]` wins as a whole.
"""


def settings_page() -> str:
    """Return the settings page as Markdown."""
    return '\n'.join(
        chain(
            (_PAGE_HEAD, '## `mallowspindled` with `interface = native`'),
            _model_lines(NativeSettings),
            ('\n## `mallowspindled` with `interface = platform`',),
            _model_lines(PlatformSettings),
            ('\n## `mallowspindle`',),
            _model_lines(OperatorSettings),
            (_TREE_HEAD,),
            chain.from_iterable(
                _section_lines(name, model) for name, model in _TREE_SECTIONS
            ),
        )
    )


def _model_lines(model: type[BaseModel]) -> list[str]:
    sections = (
        (name, field.annotation) for name, field in model.model_fields.items()
    )
    return [
        line
        for name, section in sections
        if isinstance(section, type) and issubclass(section, BaseModel)
        for line in _section_lines(name, section)
    ]


def _section_lines(name: str, model: type[BaseModel]) -> list[str]:
    rows = [
        f'| `{option}` | {_default(field.get_default(call_default_factory=True))} '
        f'| {_bounds(field.metadata)} |'
        for option, field in model.model_fields.items()
    ]
    return [
        f'\n### `[{name}]`\n',
        f'{(model.__doc__ or "").strip()}\n',
        '| option | default | bounds |',
        '| --- | --- | --- |',
        *rows,
    ]


def _default(value: Any) -> str:
    if value is PydanticUndefined:
        return 'required'
    if isinstance(value, list):
        value = ' '.join(value)
    return f'`{value}`' if str(value) else 'empty'


def _bounds(metadata: list[Any]) -> str:
    texts = [
        str(rule).split('(', 1)[-1].rstrip(')')
        for rule in metadata
        if '(' in str(rule) and 'Before' not in str(rule)
    ]
    return ', '.join(f'`{text}`' for text in texts).replace('|', r'\|')


if __name__ == '__main__':
    sys.stdout.write(f'{settings_page()}\n')
