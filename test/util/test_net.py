"""Tests of acaciaspoke.util.net."""

import unittest

import httpcore

from acaciaspoke.util.net import split_address

VALID = {
    "127.0.0.1:9": ("127.0.0.1", 9),
    "[::1]:9": ("::1", 9),
    "[::ffff:1.2.3.4]:9": ("::ffff:1.2.3.4", 9),
    "[fe80::1%eth0]:9": ("fe80::1%eth0", 9),
}
INVALID = (
    *("", "9", ":9", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0"),
    *("127.0.0.1:65536", "127.0.0.1:x", "127.0.0.1:9 ", " 127.0.0.1:9"),
    *("[127.0.0.1:9", "127.0.0.1]:9", "[127.0.0.1]:9"),
    *("::1:9", "[::1:9", "::1]:9", "[[::1]]:9", "[]:9", "[]::1:9"),
    *("[fe80::1%]:9", "[fe80::1%?]:9", "[fe80::1%é]:9", "[fe80::1%a b]:9"),
    *("[fe80::1%a\r\nx: y]:9", "[fe80::1%]]:9", "user@127.0.0.1:9"),
)


class SplitAddressTest(unittest.TestCase):

    def test_valid_address_has_the_same_parts_in_a_url(self):
        for address, parts in VALID.items():
            with self.subTest(address):
                self.assertEqual(parts, split_address(address))
                url = httpcore.URL(f"http://{address}/")
                self.assertEqual(parts, (url.host.decode(), url.port))

    def test_invalid_address_is_an_error(self):
        # Some of these made URLs that could not be parsed.
        for address in INVALID:
            with self.subTest(address), self.assertRaises(ValueError):
                split_address(address)
