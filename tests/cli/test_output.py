from bitterntiller.cli.output import format_table, format_tree


def test_tree_has_one_line_per_scalar():
    value = {"a": [1, {"b": None}], "c": {}, "d": {"e": True, "f": ""}}
    assert format_tree(value).splitlines() == [
        "a:",
        "  - 1",
        "  -",
        "    b: -",
        "c: none",
        "d:",
        "  e: yes",
        "  f: -",
    ]


def test_table_columns_are_as_wide_as_their_cells():
    assert format_table(("a", "long"), [("x" * 3, 0), (None, "y")]).splitlines() == [
        "a    long",
        "xxx  0",
        "-    y",
    ]
