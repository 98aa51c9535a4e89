"""Several entries in one process, each before a config service of its own that misleads it."""

import json
import unittest
from unittest import mock

import eventlet

from daisystack.core.config_keeper import PublishedDocument
from daisystack.core.settings import EntrySettings
from daisystack.runtime import config_task
from daisystack.runtime.entry import Entry
from daisystack.runtime.peer_link import PeerError, PeerLink
from daisystack.testing import build_raw_document
from daisystack.testing.fakes import FakeConfigService
from daisystack.testing.scripted import free_address

PATIENCE_S = 60.0


class Group:
    """Entries that know each other, their services, and which of them can't reach each other."""

    def __init__(self, size):
        self.http = [free_address() for _ in range(size)]
        self.peer = [free_address() for _ in range(size)]
        self.services = [FakeConfigService(is_down=True) for _ in range(size)]
        self.entries = []
        self.parts = {}

    def document(self, revision):
        raw = build_raw_document(entries=len(self.peer), agents=0, ledgers=0, regions=["mtl"])
        for place, line in enumerate(raw["register"]["instances"]):
            line["http_address"], line["peer_address"] = self.http[place], self.peer[place]
        raw["rules"]["workspaces"].append({"name": f"revision-{revision}"})
        return PublishedDocument(revision, json.dumps(raw).encode())

    def start(self, place):
        settings = EntrySettings(
            f"e{place + 1}",
            "mtl-1",
            self.http[place],
            self.peer[place],
            free_address(),
            free_address(),
            peers=tuple(self.peer),
        )
        entry = Entry(settings)
        entry.daemon.config.service = self.services[place]
        self.entries.append(entry)
        entry.start()
        return entry

    def revisions(self):
        return [entry.daemon.config.keeper.revision for entry in self.entries]

    def history(self):
        return [
            [e.revision for e in entry.daemon.trail.events() if e.what.value == "config_accepted"]
            for entry in self.entries
        ]

    def wait(self, *revisions):
        with eventlet.Timeout(PATIENCE_S):
            while self.revisions() != list(revisions):
                eventlet.sleep(0.05)

    def call(self, link, method, *arguments):
        """Stand in for PeerLink.call: peers in different parts do not reach each other."""
        here, there = self.parts.get(_caller_id(arguments)), self.parts.get(link.address)
        if here is not None and there is not None and here != there:
            raise PeerError("parted")
        return REAL_CALL(link, method, *arguments)


REAL_CALL = PeerLink.call


def _caller_id(arguments):
    return getattr(arguments[0], "instance_id", None) if arguments else None


class TestConfigSpread(unittest.TestCase):
    def setUp(self):
        # Fakes answer at once, so the watch must not spin.
        patches = [
            mock.patch.object(config_task, "TICK_S", 0.1),
            mock.patch.object(config_task, "RETRY_MIN_S", 0.1),
            mock.patch.object(config_task, "RANDOM_READ_PROBABILITY", 0.2),
        ]
        for patch in patches:
            patch.start()
            self.addCleanup(patch.stop)

    def test_readers_that_are_shown_different_revisions_all_end_on_the_newest(self):
        group = Group(3)
        for place, revision in enumerate((3, 7, 5)):
            group.services[place].shown = group.document(revision)
            group.services[place].is_down = False
        for place in range(3):
            group.start(place)
        group.wait(7, 7, 7)
        for place, revision in enumerate((9, 2, 1)):
            group.services[place].shown = group.document(revision)
        group.wait(9, 9, 9)
        for accepted in group.history():
            self.assertEqual(accepted, sorted(set(accepted)))

    def test_a_flapping_service_and_one_that_is_down_revert_nobody(self):
        group = Group(3)
        group.services[0].shown = group.document(4)
        group.services[0].is_down = False
        for place in range(3):
            group.start(place)
        group.wait(4, 4, 4)
        for turn in range(6):
            group.services[0].is_down = turn % 2 == 0
            group.services[0].shown = group.document(4 if turn % 3 else 2)
            eventlet.sleep(0.15)
        self.assertEqual(group.revisions(), [4, 4, 4])

    def test_both_sides_of_a_partition_run_on_and_meet_again_on_the_newest(self):
        group = Group(4)
        for service in group.services:
            service.shown = group.document(1)
            service.is_down = False
        with mock.patch.object(PeerLink, "call", lambda link, *a: group.call(link, *a)):
            for place in range(4):
                group.start(place)
            group.wait(1, 1, 1, 1)
            for place in range(4):
                part = place % 2
                group.parts[f"e{place + 1}"] = group.parts[group.peer[place]] = part
            for place, service in enumerate(group.services):
                service.shown = group.document(6 if place % 2 else 1)
            group.wait(1, 6, 1, 6)
            eventlet.sleep(0.5)
            self.assertEqual(group.revisions(), [1, 6, 1, 6])
            group.parts.clear()
            group.wait(6, 6, 6, 6)
        for accepted in group.history():
            self.assertEqual(accepted, sorted(set(accepted)))
