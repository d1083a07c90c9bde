"""The operators' commands for settings, run against a log stand-in."""

import json
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
import pytest_asyncio
from aiohttp.test_utils import TestServer

from mallowspindle.commands import settings as commands
from mallowspindle.commands.client import call_node, load_operator
from mallowspindle.commands.errors import CommandError, ExitCode
from mallowspindle.commands.output import Output
from mallowspindle.config.operator import OperatorSection
from mallowspindle.standins.log import LogStandin

SPLIT = '[split]\nnorth = 60\nsouth = 40\n'


def _make_operator(log_url: str) -> OperatorSection:
    return OperatorSection.model_validate(
        {'name': 'anna', 'log_url': log_url, 'node_url': 'http://127.0.0.1:1'}
    )


@pytest_asyncio.fixture
async def operator() -> AsyncIterator[OperatorSection]:
    server = TestServer(LogStandin(3600, 10_000).app())
    async with server:
        yield _make_operator(str(server.make_url('')))


@pytest.fixture
def document(tmp_path: Path) -> Path:
    path = tmp_path / 'split.ini'
    path.write_text(SPLIT)
    return path


async def test_set_show_and_history(
    operator: OperatorSection,
    document: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    await commands.change(operator, 'v', document, None, Output.JSON)
    with pytest.raises(CommandError) as caught:
        await commands.change(operator, 'v', document, -1, Output.JSON)
    assert caught.value.exit_code == ExitCode.REFUSED
    capsys.readouterr()
    await commands.history(operator, 'v', Output.JSON)
    rows = json.loads(capsys.readouterr().out)
    assert [row['accepted'] for row in rows] == [True, False]
    await commands.show(operator, '', Output.JSON)
    documents = json.loads(capsys.readouterr().out)
    assert documents[0]['document'] == SPLIT
    await commands.show(operator, 'v', Output.TABLE)
    assert 'north = 60' in capsys.readouterr().out


@pytest.fixture
def invalid_document(tmp_path: Path) -> Path:
    path = tmp_path / 'invalid.ini'
    path.write_text(SPLIT.replace('40', '41'))
    return path


async def test_invalid_document_is_not_published(
    operator: OperatorSection, invalid_document: Path
) -> None:
    for command in (
        commands.check(invalid_document, Output.TABLE),
        commands.change(operator, 'v', invalid_document, None, Output.TABLE),
    ):
        with pytest.raises(CommandError) as caught:
            await command
        assert caught.value.exit_code == ExitCode.INVALID
        assert '101' in str(caught.value)


async def test_unreachable_log_and_node(document: Path) -> None:
    unreachable = _make_operator('http://127.0.0.1:1')
    for command in (
        commands.change(unreachable, 'v', document, None, Output.TABLE),
        commands.history(unreachable, '', Output.TABLE),
        call_node(unreachable, 'GET', '/operator/nodes'),
    ):
        with pytest.raises(CommandError) as caught:
            await command
        assert caught.value.exit_code == ExitCode.UNREACHABLE


def test_all_problems_of_operator_file_are_reported(tmp_path: Path) -> None:
    path = tmp_path / 'operator.ini'
    path.write_text('[operator]\ncolour = red\n')
    with pytest.raises(CommandError) as caught:
        load_operator(path)
    assert caught.value.exit_code == ExitCode.INVALID
    assert all(
        name in str(caught.value) for name in ('colour', 'name', 'log_url')
    )
