"""What the code does is the same in each process: no walk in the order of hashes, which are drawn anew there."""

from __future__ import annotations

import ast
import random
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

import otterquay
from otterquay.lab import search
from otterquay.lab.day import FaultPlan, load_day
from otterquay.lab.sim import play_simulated
from otterquay.ordered_set import OrderedSet

ROOT = Path(otterquay.__file__).parent
BAD_DAY = ROOT.parent / "examples" / "bad-day.hcl"
SET_TYPES = {"set", "frozenset", "Set", "AbstractSet", "WeakSet"}
SET_METHODS = {"union", "intersection", "difference", "symmetric_difference", "copy"}
SET_OPERATORS = (ast.BitOr, ast.BitAnd, ast.BitXor, ast.Sub)
ORDER_FREE = {
    "sorted",
    "set",
    "frozenset",
    "len",
    "any",
    "all",
    "bool",
    "min",
    "max",
    "isinstance",
}  # without a key
TOTAL_KEYS = {"repr"}
Names = frozenset[str]


def name_of(node: ast.AST) -> str:
    """The last part of a name, an attribute, or the function that a call names."""
    match node:
        case ast.Name(id=name) | ast.Attribute(attr=name):
            return name
        case ast.Subscript(value=inner) | ast.Call(func=inner):
            return name_of(inner)
    return ""


def key_of(node: ast.AST) -> str:
    """The name under which a variable or an attribute is kept: `name`, or `.name`."""
    return f".{name_of(node)}" if isinstance(node, ast.Attribute) else name_of(node)


def is_set_type(annotation: ast.AST | None) -> bool:
    """Whether an annotation says a set whose hashes are not those of numbers, which every process shares."""
    if isinstance(annotation, ast.BinOp):
        return is_set_type(annotation.left) or is_set_type(annotation.right)
    if annotation is None or name_of(annotation) not in SET_TYPES:
        return False
    elements = {name_of(n) for n in ast.walk(annotation.slice)} if isinstance(annotation, ast.Subscript) else {""}
    return not elements - {"", "tuple"} <= {"int", "bool", "float"} or elements == {""}


def is_set(node: ast.AST, names: Names) -> bool:
    """Whether an expression is a set, as far as its form and the known names of sets tell."""
    match node:
        case ast.Set() | ast.SetComp():
            return True
        case ast.Name() | ast.Attribute():
            return key_of(node) in names
        case ast.Call(func=ast.Attribute(value=owner, attr=method)) if method in SET_METHODS:
            return is_set(owner, names)
        case ast.Call(func=ast.Subscript() as constructor):
            return is_set_type(constructor)
        case ast.Call():
            return name_of(node) in SET_TYPES | {"all_tasks"} or f"{name_of(node)}()" in names
        case ast.BinOp(left=left, op=op, right=right) if isinstance(op, SET_OPERATORS):
            keys = name_of(left) == name_of(right) == "keys"
            return keys or is_set(left, names) or is_set(right, names)
        case ast.IfExp(body=left, orelse=right):
            return is_set(left, names) or is_set(right, names)
        case ast.NamedExpr(value=value):
            return is_set(value, names)
    return False


def declared(node: ast.AST, names: Names) -> Iterator[str]:
    """The names that a node declares to be sets; functions that return one as `name()`."""
    match node:
        case ast.AnnAssign(target=target, annotation=annotation) if is_set_type(annotation):
            yield key_of(target)
        case ast.arg(arg=name, annotation=annotation) if is_set_type(annotation):
            yield name
        case ast.FunctionDef(name=name, returns=returns) if is_set_type(returns):
            yield f"{name}()"
        case ast.Assign(targets=[target], value=value) if is_set(value, names):
            yield key_of(target)
        case ast.NamedExpr(target=target, value=value) if is_set(value, names):
            yield key_of(target)


def shared_names(trees: list[ast.Module]) -> Names:
    """Attributes, constants and functions that are sets somewhere: known by their name in all modules."""
    found: set[str] = set()
    for tree in trees:
        for node in tree.body:
            found.update(declared(node, frozenset()))
        for node in ast.walk(tree):
            if isinstance(node, ast.ClassDef):
                found.update(f".{name}" for child in node.body for name in declared(child, frozenset()))
            found.update(name for name in declared(node, frozenset()) if name[0] == "." or name[-1] == ")")
    return frozenset(found)


def is_order_free(call: ast.AST) -> bool:
    """Whether a call gives the same for any order of what it is given."""
    if not isinstance(call, ast.Call) or name_of(call) not in ORDER_FREE:
        return False
    return all(name_of(k.value) in TOTAL_KEYS for k in call.keywords if k.arg == "key")


def is_empty(node: ast.AST) -> bool:
    return isinstance(node, ast.Call) and name_of(node) in SET_TYPES and not node.args


def walked(node: ast.AST, parent: ast.AST, names: Names, defined: Names) -> list[ast.expr]:
    """The expressions that a node walks in an order that may matter."""
    match node:
        case ast.For(iter=walk) | ast.YieldFrom(value=walk):
            return [walk]
        case ast.GeneratorExp(generators=loops) | ast.ListComp(generators=loops) if not is_order_free(parent):
            return [loop.iter for loop in loops]
        case ast.DictComp(generators=loops):
            return [loop.iter for loop in loops]
        case ast.Starred(value=walk) if not isinstance(parent, ast.Set) and not is_order_free(parent):
            return [walk]
        case ast.Assign(targets=[ast.Tuple() | ast.List()], value=walk):
            return [walk]
        case ast.Call(func=ast.Attribute(value=owner, attr="pop"), args=[]):
            return [owner]
        case ast.Call(func=ast.Attribute(value=owner)) if is_set(owner, names):
            return []  # it changes a set or compares with one
        case ast.Call(args=arguments) if not is_order_free(node) and name_of(node) not in defined:
            return [argument for argument in arguments if not is_empty(argument)]
    return []


def walks(tree: ast.Module, shared: Names, defined: Names) -> list[str]:
    """Each walk over a set, as `line: expression`; a function's own names are known in it and inside it."""
    found = []

    def visit(node: ast.AST, parent: ast.AST, names: Names) -> None:
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            for _ in range(2):  # a name may be assigned from another one
                names |= {name for part in ast.walk(node) for name in declared(part, names)}
        for walk in walked(node, parent, names, defined):
            if is_set(walk, names):
                found.append(f"{walk.lineno}: {ast.unparse(walk)}")
        for child in ast.iter_child_nodes(node):
            visit(child, node, names)

    visit(tree, tree, shared)
    return found


TREES = {str(path.relative_to(ROOT)): ast.parse(path.read_text()) for path in sorted(ROOT.rglob("*.py"))}
SHARED = shared_names(list(TREES.values()))
WALKING = {
    "list",
    "tuple",
    "dict",
    "iter",
    "join",
    "extend",
    "fromkeys",
    "enumerate",
    "map",
    "filter",
    "OrderedSet",
}
DEFINED = frozenset(
    node.name
    for tree in TREES.values()
    for node in ast.walk(tree)
    if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef | ast.ClassDef) and node.name not in WALKING
)


def test_nothing_is_walked_in_the_order_of_its_hashes() -> None:
    found = {path: lines for path, tree in TREES.items() if (lines := walks(tree, SHARED, DEFINED))}
    assert not found


@pytest.mark.parametrize(
    "source",
    [
        "class A:\n peers: set[Peer] = field(default_factory=set)\n def f(self):\n  return list(self.peers)",
        "def f(pool: Pool):\n for call in pool.calls: call()\nclass Pool:\n def g(self):\n  self.calls = set()",
        "def f(names: frozenset[str]): return [n for n in names]",
        "def f(names: Iterable[str]):\n if not (ended := set(names)): return\n for name in ended: close(name)",
        "def f(names: list[str]): return {n: 1 for n in set(names)}",
        "def f(a: dict, b: dict): return tuple(a.keys() & b.keys())",
        "def f(names: set[str] | None): return [*names]",
        "def f(names: set[str]): return sorted(names, key=len)",
        "def f(names: set[str]): return names.pop()",
        "def f(names: set[str]): return ', '.join(names)",
        "def f(names: set[str]): first, = names",
        "def f() -> set[str]: ...\ndef g(): yield from f()",
        "def f() -> set[str]: ...\ndef g(): return list(f())",
        "def f(loop):\n for task in asyncio.all_tasks(loop): task.cancel()",
    ],
)
def test_the_scan_finds_each_form_of_a_walk(source: str) -> None:
    tree = ast.parse(source)
    assert walks(tree, shared_names([tree]), frozenset({"f", "g"}))


@pytest.mark.parametrize(
    "source",
    [
        "def f(names: set[str]): return sorted(names), len(names), 'a' in names, max(names), names | {'b'}",
        "def f(names: set[str]): return sorted(n for n in names if n), {n for n in names}, sorted(names, key=repr)",
        "def f(builds: set[int], pairs: set[tuple[int, int]]):\n for build in builds: go(build, list(pairs))",
        "def f(names: dict[str, int]): return list(names), [*names]",
        "def f(names: OrderedSet[str]): return list(names)",
        "def f(names: set[str]): names.update({'a'})",
    ],
)
def test_the_scan_leaves_what_has_no_order_or_always_the_same(source: str) -> None:
    tree = ast.parse(source)
    assert not walks(tree, shared_names([tree]), frozenset())


def test_a_play_is_the_same_whatever_the_hashes_of_its_objects(monkeypatch: pytest.MonkeyPatch) -> None:
    day, service = load_day(BAD_DAY)
    faults = [
        FaultPlan(kind="kill_servers", at=at, lasts="500ms", count=6)  # type: ignore[arg-type]
        for at in ("1500ms", "2500ms", "3500ms")
    ]
    faults.append(FaultPlan(kind="kill_agent", at="3s", lasts="500ms", agent=0))  # type: ignore[arg-type]
    day = search.with_agents(day, service, 12, random.Random(1)).model_copy(
        update={"duration": 5000.0, "build": {}, "fault": faults}
    )
    service = service.model_copy(update={"agent": service.agent.model_copy(update={"count": 12})})
    modules = [module for name, module in sys.modules.items() if name.startswith("otterquay")]
    classes = {c for m in modules for c in vars(m).values() if isinstance(c, type)}
    hashed_by_address = [
        c for c in classes if c.__module__.startswith("otterquay") and c.__hash__ is object.__hash__
    ]

    def play_with_hashes(salt: int) -> str:
        for cls in hashed_by_address:
            monkeypatch.setattr(cls, "__hash__", lambda self: hash((id(self), salt)))
        return play_simulated(day, service, 1).digest

    assert len({play_with_hashes(salt) for salt in range(3)}) == 1


def test_an_ordered_set_is_a_set_in_the_order_of_insertion() -> None:
    names = OrderedSet(["c", "a", "b", "a"])
    names.add("d")
    names.add("c")
    names.discard("a")
    names.discard("z")
    assert list(names) == ["c", "b", "d"] and len(names) == 3 and "b" in names and "a" not in names
    assert names == {"d", "c", "b"} and not OrderedSet[int]()
