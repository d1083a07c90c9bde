"""The estimate of cached prefixes and its adjustment to engine reports."""

from typing import Any

from mallowspindle.routing.prefixes import PrefixMemory, Prompt


def _prompt(word: str, count: int = 2000) -> Prompt:
    messages: list[dict[str, Any]] = [
        {'role': 'user', 'content': f'{word} ' * count}
    ]
    return Prompt(messages)


def test_shared_prefix_is_remembered() -> None:
    memory = PrefixMemory()
    memory.remember('vm', _prompt('one', 3000))
    cached = memory.cached_tokens('vm', _prompt('one', 2000))
    assert cached > _prompt('one', 2000).tokens * 0.9
    assert memory.cached_tokens('other', _prompt('one')) == 0
    assert memory.cached_tokens('vm', _prompt('two')) == 0


def test_memory_shrinks_when_less_is_cached_than_expected() -> None:
    memory = PrefixMemory()
    prompts = [_prompt(f'word{number}') for number in range(10)]
    for prompt in prompts:
        memory.remember('vm', prompt)
    for _ in range(3):
        memory.verify('vm', 1, 0)
    assert memory.cached_tokens('vm', prompts[0]) == 0
    assert memory.cached_tokens('vm', prompts[-1]) > 0


def test_memory_is_kept_when_cached_share_is_as_expected() -> None:
    memory = PrefixMemory()
    prompts = [_prompt(f'word{number}') for number in range(10)]
    for prompt in prompts:
        memory.remember('vm', prompt)
        memory.verify('vm', 1, 0.9)
    assert all(memory.cached_tokens('vm', prompt) for prompt in prompts)
