"""Parses YAML into nodes with their line and column."""

import attrs
from ruamel.yaml import YAML
from ruamel.yaml.error import MarkedYAMLError, YAMLError
from ruamel.yaml.nodes import MappingNode, SequenceNode

__all__ = ["Node", "parse_yaml"]


@attrs.define
class Node:
    """A YAML value with its position in the text.

    Attributes:
        value: Scalar, list of nodes, or dict of key to node.
        line: Line from 1.
        column: Column from 1.
        key_nodes: For mappings, a node for each key, with the key's position.
    """

    value: object
    line: int
    column: int
    key_nodes: dict = attrs.Factory(dict)

    @property
    def is_mapping(self):
        return isinstance(self.value, dict)

    @property
    def is_sequence(self):
        return isinstance(self.value, list)

    @property
    def plain(self):
        """The value without positions, as plain lists and dicts."""
        if self.is_mapping:
            return {key: child.plain for key, child in self.value.items()}
        if self.is_sequence:
            return [child.plain for child in self.value]
        return self.value


def parse_yaml(text, findings):
    """Return the root node of a YAML text, or None after recording findings.

    Args:
        text: The YAML text.
        findings: Collects syntax errors and duplicate keys.
    """
    yaml = YAML(typ="safe", pure=True)
    yaml.max_depth = 50
    try:
        root = yaml.compose(text)
        if root is None:
            findings.add(Node(None, 1, 1), (), "the file is empty")
            return None
        return _convert(root, yaml, findings, ())
    except MarkedYAMLError as exc:
        mark = exc.problem_mark or exc.context_mark
        line, column = (mark.line + 1, mark.column + 1) if mark else (1, 1)
        findings.add(Node(None, line, column), (), f"bad YAML: {exc.problem}")
    except (YAMLError, RecursionError, ValueError) as exc:
        findings.add(Node(None, 1, 1), (), f"bad YAML: {exc}")
    return None


def _convert(node, yaml, findings, path):
    """Return the :class:`Node` of a composed ruamel.yaml node."""
    line, column = node.start_mark.line + 1, node.start_mark.column + 1
    if isinstance(node, MappingNode):
        result = Node({}, line, column)
        for key_node, value_node in node.value:
            key = yaml.constructor.construct_object(key_node, deep=True)
            position = Node(
                key, key_node.start_mark.line + 1, key_node.start_mark.column + 1
            )
            if key in result.value:
                findings.add(position, (*path, str(key)), f"duplicate key {key!r}")
                continue
            result.key_nodes[key] = position
            result.value[key] = _convert(value_node, yaml, findings, (*path, str(key)))
        return result
    if isinstance(node, SequenceNode):
        children = [
            _convert(child, yaml, findings, (*path, str(i)))
            for i, child in enumerate(node.value)
        ]
        return Node(children, line, column)
    return Node(yaml.constructor.construct_object(node, deep=True), line, column)
