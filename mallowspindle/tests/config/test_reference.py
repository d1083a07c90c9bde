"""The settings page of the user guide agrees with the models."""

from pathlib import Path

import mallowspindle
from mallowspindle.config.reference import settings_page

PAGE = Path('docs/user-guide/settings.md')


def test_settings_page_is_up_to_date() -> None:
    root = Path(mallowspindle.__file__).parent.parent
    text = (root / PAGE).read_text(encoding='utf-8')
    assert text.strip() == settings_page().strip()
