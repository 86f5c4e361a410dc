"""Tests of the generation of settings and services from answers."""

from __future__ import annotations

import json
import unittest
from typing import Any

import yaml
from hypothesis import given, settings

from knapweedhitch import changes_json, differences, generator, yamltext
from knapweedhitch.model import ServiceConfig
from knapweedhitch.questionnaire import Answers, parse_answers
from knapweedhitch.settings import Settings, parse_settings
from tests.answers_strategy import ANSWERS, choir, example

BOUNDED = settings(derandomize=True, deadline=None, max_examples=100)


def answers_of(raw: dict[str, Any]) -> Answers:
    """Return validated answers."""
    return parse_answers(yamltext.dump(raw))


def settings_of(files: dict[str, str]) -> dict[str, Settings]:
    """Return the parsed settings of all generated instances by file name."""
    settings_by_file = {}
    for name, text in files.items():
        if name.startswith("instances/"):
            settings_by_file[name] = parse_settings(text, name)
    return settings_by_file


class GeneratorTest(unittest.TestCase):
    @BOUNDED
    @given(ANSWERS)
    def test_generated_files_are_valid_for_any_answers(self, raw: dict[str, Any]) -> None:
        """Guards against valid answers that generate settings which daemons refuse."""
        answers = answers_of(raw)
        files = generator.render(generator.generate(answers))
        parsed = settings_of(files)
        self.assertEqual(len(parsed), len(answers.instances))
        lease_s = answers.promises.domains_out_within_s
        for cfg in parsed.values():
            self.assertLess(cfg.feed.config_lease_ms, lease_s * 1_000)
            self.assertEqual(cfg.listen.operator.host, "127.0.0.1")
            self.assertEqual(cfg.is_control, cfg.control.data_dir is not None)
        for svc in json.loads(files["services.json"]):
            changes_json.parse_service(svc)

    @BOUNDED
    @given(ANSWERS)
    def test_control_instances_have_disks_in_different_domains(self, raw: dict[str, Any]) -> None:
        """Guards against a control group that loses its majority with one failure domain."""
        answers = answers_of(raw)
        control = generator.choose_control(answers)
        self.assertTrue(all(instance.disk for instance in control))
        self.assertEqual(len({instance.domain for instance in control}), len(control))
        domains = len(answers.failure_domains)
        self.assertEqual(len(control), 5 if domains >= 5 else 3 if domains >= 3 else 1)

    @BOUNDED
    @given(ANSWERS)
    def test_order_of_keys_does_not_matter(self, raw: dict[str, Any]) -> None:
        """Guards against nondeterministic output for the same answers."""
        texts = [yaml.safe_dump(raw, sort_keys=sort_keys) for sort_keys in (True, False)]
        first_files, second_files = (
            generator.render(generator.generate(parse_answers(t))) for t in texts
        )
        self.assertEqual(first_files, second_files)

    def test_new_instance_does_not_move_the_control_instances(self) -> None:
        """Guards against replacing members of the control group when an instance is added."""
        raw = choir()
        before = generator.choose_control(answers_of(raw))
        new = {"name": "a-first", "address": "10.20.9.9", "domain": "dalby", "disk": True}
        raw["instances"].append(new)
        self.assertEqual(generator.choose_control(answers_of(raw)), before)

    def test_examples_match_the_design_page(self) -> None:
        """Guards against examples that diverge from the deployments of the design page."""
        sizes = {"choir": (range(3, 5), 9, 220), "co-operative": (range(3, 6), 6, 260)}
        for name, (targets, slots, connections) in sizes.items():
            answers = answers_of(example(name))
            self.assertEqual((len(answers.failure_domains), len(answers.services)), (3, 3))
            for svc in answers.services:
                beside = [
                    instance for instance in answers.instances if instance.service == svc.name
                ]
                self.assertIn(len(beside), targets)
                self.assertEqual(
                    {instance.domain for instance in beside}, set(answers.failure_domains)
                )
                for instance in beside:
                    self.assertEqual((instance.slots, instance.connections), (slots, connections))


class DifferenceTest(unittest.TestCase):
    def test_every_changed_field_is_shown(self) -> None:
        """Guards against an applied change that the difference doesn't list."""
        old = [ServiceConfig("a", ("a.example",)), ServiceConfig("b", ("b.example",))]
        new = [ServiceConfig("a", ("a.example",), retries=1), ServiceConfig("c", ("c.example",))]
        lines = differences.of_services(old, new)
        self.assertEqual(lines[:3], ["- service b", "~ a.retries: 2 -> 1", "+ service c"])
        self.assertIn("+ c.hosts: ['c.example']", lines)
        self.assertEqual(differences.of_services(old, list(reversed(old))), [])
