"""Fills in the settings template of the deploy file, as the platform does."""

import re
from typing import Any

_SECTION = re.compile(r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', re.DOTALL)
_PLACE = re.compile(r'\{\{([\w.]+)\}\}')


def render(template: str, fields: dict[str, Any]) -> str:
    """Return the template with its placeholders and lists filled in."""

    def section(found: re.Match[str]) -> str:
        entries = _value(fields, found[1]) or []
        return ''.join(
            found[2].replace('{{.}}', str(entry)) for entry in entries
        )

    def place(found: re.Match[str]) -> str:
        value = _value(fields, found[1])
        return '' if value is None else str(value)

    return _PLACE.sub(place, _SECTION.sub(section, template))


def _value(fields: dict[str, Any], path: str) -> Any:
    value: Any = fields
    for name in path.split('.'):
        value = value.get(name) if isinstance(value, dict) else None
    return value
