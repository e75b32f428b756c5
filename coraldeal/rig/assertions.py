"""Assertions of an experiment: comparisons over the figures of its summary, such as `peak_offered < 1.5`.

Assertions stand under the key `claims` of an experiment file. They are a small subset of Python's
expressions, parsed with `ast` and never evaluated as Python.
"""

from __future__ import annotations

import ast
import operator
from collections.abc import Callable, Mapping

OPERATORS: dict[type[ast.AST], Callable[[float, float], float]] = {
    ast.Add: operator.add,
    ast.Sub: operator.sub,
    ast.Mult: operator.mul,
    ast.Div: operator.truediv,
}
COMPARISONS: dict[type[ast.AST], Callable[[float, float], bool]] = {
    ast.Lt: operator.lt,
    ast.LtE: operator.le,
    ast.Gt: operator.gt,
    ast.GtE: operator.ge,
    ast.Eq: operator.eq,
    ast.NotEq: operator.ne,
}


class InvalidAssertionError(Exception):
    """An assertion can't be parsed, or names a figure that does not exist."""


def _evaluate(node: ast.AST, figures: Mapping[str, float], text: str) -> float:
    """Compute one side of an assertion; a division by 0 gives NaN. Raises InvalidAssertionError."""
    if isinstance(node, ast.Constant) and isinstance(node.value, int | float):
        return float(node.value)
    if isinstance(node, ast.Name | ast.Attribute):
        name = ast.unparse(node)
        if name not in figures:
            similar = [figure for figure in figures if figure.startswith(name[:4])][:5] or sorted(figures)[:8]
            raise InvalidAssertionError(
                f"claims: {text!r}: no figure is named {name}; figures include {', '.join(similar)}"
            )
        return figures[name]
    if isinstance(node, ast.BinOp) and type(node.op) in OPERATORS:
        left, right = _evaluate(node.left, figures, text), _evaluate(node.right, figures, text)
        if isinstance(node.op, ast.Div) and right == 0:
            return float("nan")
        return OPERATORS[type(node.op)](left, right)
    if isinstance(node, ast.UnaryOp) and isinstance(node.op, ast.USub):
        return -_evaluate(node.operand, figures, text)
    raise InvalidAssertionError(
        f"claims: {text!r}: {ast.unparse(node)} is not allowed; use numbers, figures and + - * /"
    )


def parse_assertion(text: str) -> ast.Compare:
    """Return the syntax tree of an assertion; raises InvalidAssertionError."""
    try:
        tree = ast.parse(text, mode="eval").body
    except SyntaxError as error:
        raise InvalidAssertionError(f"claims: {text!r}: {error.msg}") from None
    if not isinstance(tree, ast.Compare) or any(type(op) not in COMPARISONS for op in tree.ops):
        raise InvalidAssertionError(f"claims: {text!r} is not a comparison, such as lost == 0")
    return tree


def evaluate_assertion(text: str, figures: Mapping[str, float]) -> tuple[bool, str]:
    """Return whether the assertion holds, and the value of its left side; raises InvalidAssertionError."""
    tree = parse_assertion(text)
    values = [_evaluate(node, figures, text) for node in (tree.left, *tree.comparators)]
    is_true = all(COMPARISONS[type(op)](values[at], values[at + 1]) for at, op in enumerate(tree.ops))
    return is_true, f"{values[0]:.4g}"
