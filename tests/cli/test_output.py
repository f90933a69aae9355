from bitterntiller.cli.output import format_table, format_tree


def test_tree_shows_each_scalar_in_a_line():
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


def test_table_is_as_wide_as_needed():
    assert format_table(("a", "long"), [("x" * 3, 0), (None, "y")]).splitlines() == [
        "a    long",
        "xxx  0",
        "-    y",
    ]
