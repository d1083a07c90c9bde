"""Parse INI text into validated models and report all problems at once."""

from configparser import ConfigParser
from configparser import Error as ParserError
from typing import TypeVar

from pydantic import BaseModel, ConfigDict, ValidationError

from mallowspindle.config.errors import ConfigError, Problem

ModelT = TypeVar('ModelT', bound=BaseModel)


class Section(BaseModel):
    """Base of models of INI sections; unknown options are an error."""

    model_config = ConfigDict(extra='forbid', frozen=True)


def parse_sections(text: str) -> dict[str, dict[str, str]]:
    """Return the options of each section of INI text, unvalidated."""
    parser = ConfigParser(interpolation=None, default_section='\0')
    try:
        parser.read_string(text)
    except ParserError as error:
        raise ConfigError([Problem('file', 'syntax', str(error))]) from error
    return {name: dict(parser.items(name)) for name in parser.sections()}


def load_model(model: type[ModelT], text: str) -> ModelT:
    """Return a ``model`` made from INI text; ``ConfigError`` if invalid."""
    try:
        return model.model_validate(parse_sections(text))
    except ValidationError as error:
        raise ConfigError(problems_of(error)) from error


def problems_of(error: ValidationError) -> list[Problem]:
    """Return one problem for each error that pydantic reports."""
    return [
        Problem(
            section=str(detail['loc'][0]) if detail['loc'] else 'file',
            option='.'.join(str(part) for part in detail['loc'][1:]) or '-',
            text=detail['msg'],
        )
        for detail in error.errors()
    ]
