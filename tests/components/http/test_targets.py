"""Tests of request targets."""

import pytest

from bitterntiller.components.http.targets import replace_host, split_target


@pytest.mark.parametrize(
    ("target", "path", "host"),
    [
        ("/a/b?c=http://x/y", "/a/b?c=http://x/y", None),
        ("*", "*", None),
        ("http://x.example/a?b", "/a?b", "x.example"),
        ("HTTPS://X:1/a", "/a", "X:1"),
        ("http://x", "/", "x"),
        ("http://x?q=/a", "/?q=/a", "x"),
        ("http://[::1]:8/a", "/a", "[::1]:8"),
    ],
)
def test_target_is_split_into_path_and_host(target, path, host):
    assert split_target(target) == (path, host)


def test_host_of_the_target_replaces_the_header():
    headers = [(b"host", b"other"), (b"x-a", b"1")]
    assert replace_host(headers, "x:1") == [(b"host", b"x:1"), (b"x-a", b"1")]
