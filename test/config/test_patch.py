"""Tests of merge patches and of configuration validation."""

import unittest

import msgspec

from acaciaspoke.config.patch import apply_committed, apply_patch, merge
from acaciaspoke.config.schema import Config
from test.builders import small_config


def invalid_paths(patch) -> set[str]:
    try:
        apply_patch(small_config(), patch)
    except ExceptionGroup as group:
        return {problem.path for problem in group.exceptions}
    return set()


class MergeTest(unittest.TestCase):

    def test_follows_the_examples_of_rfc_7396(self):
        for target, patch, result in (
            ({"a": "b"}, {"a": "c"}, {"a": "c"}),
            ({"a": "b"}, {"b": "c"}, {"a": "b", "b": "c"}),
            ({"a": "b", "b": "c"}, {"a": None}, {"b": "c"}),
            ({"a": ["b"]}, {"a": "c"}, {"a": "c"}),
            (
                {"a": {"b": "c"}},
                {"a": {"b": "d", "c": None}},
                {"a": {"b": "d"}},
            ),
            ({"a": [{"b": "c"}]}, {"a": [1]}, {"a": [1]}),
            (["a", "b"], ["c", None], ["c", None]),
            ({"a": "foo"}, "bar", "bar"),
            ({"e": None}, {"a": 1}, {"e": None, "a": 1}),
            ([1, 2], {"a": "b", "c": None}, {"a": "b"}),
            ({}, {"a": {"bb": {"ccc": None}}}, {"a": {"bb": {}}}),
        ):
            with self.subTest(patch=patch):
                self.assertEqual(merge(target, patch), result)


class PatchTest(unittest.TestCase):

    def test_returns_the_next_version_and_keeps_the_old_one(self):
        old = small_config()
        new = apply_patch(old, {"adapters": {"a1": None}})
        self.assertEqual((old.version, new.version), (1, 2))
        self.assertEqual((len(old.adapters), len(new.adapters)), (1, 0))

    def test_reports_each_wrong_field(self):
        """Guards against a missing rule or one that reports another path."""
        upstream = {"service": "engines", "failure_domain": "d1"}
        digest = small_config().accounts["shared"].key_sha256
        service = {"kind": "engine"}
        for patch, path in (
            (["no object"], "$"),
            ({"version": 9}, "version"),
            ({"surplus": 1}, "surplus"),
            ({"models": 5}, "models"),
            ({"ranks": {"r": {}}}, "ranks.r.level"),
            ({"ranks": {"gold": {"worth": 0}}}, "ranks.gold.worth"),
            ({"ranks": {"r": {"level": 0}}}, "ranks.r.level"),
            ({"services": {"s": {"kind": "x"}}}, "services.s.kind"),
            ({"services": {"a/b": service}}, "services.a/b"),
            (
                {"services": {"s": service | {"non_idempotent": ["POST"]}}},
                "services.s.non_idempotent[0]",
            ),
            ({"models": {"m1": {"service": "x"}}}, "models.m1.service"),
            ({"models": {"m1": {"service": "bank"}}}, "models.m1.service"),
            ({"models": {"m1": {"memory_bytes": 0}}}, "models.m1.memory_bytes"),
            (
                {"models": {"m2": {"service": "engines", "memory_bytes": 101}}},
                "models.m2.memory_bytes",
            ),
            ({"adapters": {"a1": {"model": "x"}}}, "adapters.a1.model"),
            (
                {"adapters": {"a1": {"memory_bytes": 41}}},
                "adapters.a1.memory_bytes",
            ),
            (
                {"adapters": {"m1": {"model": "m1", "memory_bytes": 1}}},
                "adapters.m1",
            ),
            ({"upstreams": {"u1": {"service": "x"}}}, "upstreams.u1.service"),
            ({"upstreams": {"u1": {"address": "x:1"}}}, "upstreams.u1.address"),
            (
                {"upstreams": {"u2": upstream | {"address": "10.0.0.1:8000"}}},
                "upstreams.u2.address",
            ),
            (
                {"upstreams": {"u1": {"failure_domain": ""}}},
                "upstreams.u1.failure_domain",
            ),
            ({"accounts": {"b": {"key_sha256": "1"}}}, "accounts.b.key_sha256"),
            (
                {"accounts": {"b": {"key_sha256": digest}}},
                "accounts.b.key_sha256",
            ),
            (
                {"weight_store": {"model_loads_per_s": 0}},
                "weight_store.model_loads_per_s",
            ),
        ):
            with self.subTest(path, patch=patch):
                self.assertEqual(invalid_paths(patch), {path})

    def test_reports_every_rank_if_the_floor_shares_exceed_one(self):
        ranks = {"gold": {"floor_share": 0.6}, "base": {"floor_share": 0.5}}
        paths = {f"ranks.{name}.floor_share" for name in ranks}
        self.assertEqual(invalid_paths({"ranks": ranks}), paths)

    def test_reports_invalid_types_and_broken_rules_together(self):
        """Guards against errors that appear only after others are fixed.

        The invalid upstream might have enough memory for the model, and the
        invalid service exists, so neither causes a second error.
        """
        patch = {
            "upstreams": {"u1": {"slots": "x"}},
            "services": {"engines": {"timeout_s": -1}},
            "adapters": {"a1": {"model": "x"}},
            "models": {"m1": {"memory_bytes": 1000}},
        }
        self.assertEqual(
            invalid_paths(patch),
            {
                "upstreams.u1.slots",
                "services.engines.timeout_s",
                "adapters.a1.model",
            },
        )

    def test_accepts_models_before_their_upstreams(self):
        self.assertEqual(invalid_paths({"upstreams": None}), set())

    def test_committed_patches_give_the_same_result(self):
        """Guards against hosts that diverge from the committing host."""
        patch = {"ranks": {"gold": {"worth": 7, "floor_share": None}}}
        expected = apply_patch(small_config(), patch)
        text = '{"ranks": {"gold": {"worth": 7, "floor_share": null}}}'
        self.assertEqual(apply_committed(small_config(), 2, [text]), expected)

    def test_entry_wise_application_equals_whole_conversion(self):
        """Guards against hosts that diverge from the committing host."""
        upstream = {
            "service": "bank",
            "failure_domain": "d2",
            "address": "10.0.0.2:8000",
        }
        config = small_config()
        for patch in (
            {"models": {"m1": {"version": "2"}}},
            {"models": {"m1": {"version": None}}, "adapters": {"a1": None}},
            {"upstreams": {"u2": upstream, "unknown": None}},
            {"upstreams": {"u2": {"slots": 3}}, "ranks": {}},
            {"accounts": None},
            {"weight_store": {"model_loads_per_s": 9}},
            {"models": {"m2": {"service": "engines", "memory_bytes": 7}}},
        ):
            with self.subTest(patch=patch):
                expected = apply_patch(config, patch)
                text = msgspec.json.encode(patch).decode()
                changed = apply_committed(config, expected.version, [text])
                self.assertEqual(changed, expected)
                self.assertEqual(
                    msgspec.json.encode(changed), msgspec.json.encode(expected)
                )
                config = changed

    def test_committed_patches_with_invalid_types_are_rejected(self):
        """Guards against a version in force that is not valid."""
        for patch in ('{"models": {"m1": 5}}', '{"x": {}}'):
            with self.assertRaises(msgspec.ValidationError):
                apply_committed(small_config(), 2, [patch])
        invalid = '{"models": {"m1": {"surplus": 1}}}'
        correction = '{"models": {"m1": {"surplus": null}}}'
        changed = apply_committed(small_config(), 3, [invalid, correction])
        self.assertEqual(changed.models, small_config().models)

    def test_empty_configuration_is_valid(self):
        self.assertEqual(apply_patch(Config(), {}).version, 1)
