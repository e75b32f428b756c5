"""Claims of an experiment: comparisons over the figures of its summary, such as `peak_offered < 1.5`.

A small part of Python's expressions, read with `ast` and never evaluated as Python.
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


class ClaimError(Exception):
    """A claim that can't be read, or names a figure that there is none of."""


def _value(node: ast.AST, figures: Mapping[str, float], text: str) -> float:
    if isinstance(node, ast.Constant) and isinstance(node.value, int | float):
        return float(node.value)
    if isinstance(node, ast.Name | ast.Attribute):
        name = ast.unparse(node)
        if name not in figures:
            near = [known for known in figures if known.startswith(name[:4])][:5] or sorted(figures)[:8]
            raise ClaimError(f"claim {text!r}: there is no figure {name}; there are {', '.join(near)}")
        return figures[name]
    if isinstance(node, ast.BinOp) and type(node.op) in OPERATORS:
        left, right = _value(node.left, figures, text), _value(node.right, figures, text)
        if isinstance(node.op, ast.Div) and right == 0:
            return float("nan")
        return OPERATORS[type(node.op)](left, right)
    if isinstance(node, ast.UnaryOp) and isinstance(node.op, ast.USub):
        return -_value(node.operand, figures, text)
    raise ClaimError(f"claim {text!r}: {ast.unparse(node)} is more than numbers, figures and + - * /")


def read_claim(text: str) -> ast.Compare:
    """The claim's tree; raises ClaimError."""
    try:
        tree = ast.parse(text, mode="eval").body
    except SyntaxError as error:
        raise ClaimError(f"claim {text!r}: {error.msg}") from None
    if not isinstance(tree, ast.Compare) or any(type(op) not in COMPARISONS for op in tree.ops):
        raise ClaimError(f"claim {text!r} is not a comparison, such as lost == 0")
    return tree


def holds(text: str, figures: Mapping[str, float]) -> tuple[bool, str]:
    """Whether it holds, and what stood on its left side."""
    tree = read_claim(text)
    values = [_value(node, figures, text) for node in (tree.left, *tree.comparators)]
    true = all(COMPARISONS[type(op)](values[at], values[at + 1]) for at, op in enumerate(tree.ops))
    return true, f"{values[0]:.4g}"
