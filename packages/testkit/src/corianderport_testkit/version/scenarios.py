"""corianderport_testkit.version.scenarios

Parser of the language of fault scenarios, which has one step per line.
"""

import collections.abc
import functools
import importlib.resources
import typing

import attrs
import lark

__all__ = ['Option', 'ScenarioInvalid', 'Step', 'parse']

Option = str | tuple[float, ...]


class ScenarioInvalid(Exception):
    """The text is not a valid scenario; the message quotes the line."""


@attrs.frozen
class Step:
    """One line of a scenario; ``kind`` is the name of its grammar rule."""

    kind: str
    line: int
    words: tuple[str, ...] = ()
    numbers: tuple[float, ...] = ()
    options: collections.abc.Mapping[str, Option] = attrs.Factory(dict)


@attrs.frozen
class _Option:
    """An option of a step, written as ``name=value``."""

    name: str
    value: Option


@functools.cache
def _parser() -> lark.Lark:
    package = importlib.resources.files('corianderport_testkit.version')
    text = (package / 'scenario.lark').read_text('utf-8')
    return lark.Lark(text, parser='lalr', propagate_positions=True)


def parse(text: str) -> tuple[Step, ...]:
    """Return the steps of a scenario.

    :raises ScenarioInvalid: the text does not follow the grammar.
    """
    try:
        tree = _parser().parse(text)
    except lark.UnexpectedInput as error:
        context = error.get_context(text)
        raise ScenarioInvalid(f'line {error.line}:\n{context}') from error
    return tuple(
        _step(child) for child in tree.children if isinstance(child, lark.Tree)
    )


def _step(tree: lark.Tree[lark.Token]) -> Step:
    words: list[str] = []
    numbers: list[float] = []
    options: dict[str, Option] = {}
    for child in tree.children:
        value = _value(child)
        if isinstance(value, _Option):
            options[value.name] = value.value
        elif isinstance(value, str):
            words.append(value)
        elif value and isinstance(value[0], str):
            words.extend(str(word) for word in value)
        else:
            numbers.extend(float(number) for number in value)
    return Step(
        str(tree.data),
        tree.meta.line if not tree.meta.empty else 0,
        tuple(words),
        tuple(numbers),
        options,
    )


def _value(
    node: lark.Token | lark.Tree[lark.Token],
) -> str | tuple[str, ...] | tuple[float, ...] | _Option:
    if isinstance(node, lark.Token):
        return str(node).strip('"')
    values = [_value(child) for child in node.children]
    if node.data == 'option':
        return _Option(
            typing.cast(str, values[0]), typing.cast(Option, values[1])
        )
    texts = tuple(typing.cast(str, value) for value in values)
    if node.data == 'numbers':
        return tuple(float(text) for text in texts)
    return texts
