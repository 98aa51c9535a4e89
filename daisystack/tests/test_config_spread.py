"""Test that entries converge although each one's config service may serve stale revisions.

All entries run in one process, and each reads its own fake config service.
"""

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

WAIT_TIMEOUT_S = 60.0


class EntryGroup:
    """Entries that are peers, their config services, and the sides of a network partition."""

    def __init__(self, size):
        self.http_addresses = [free_address() for _ in range(size)]
        self.peer_addresses = [free_address() for _ in range(size)]
        self.services = [FakeConfigService(is_down=True) for _ in range(size)]
        self.entries = []
        self.sides = {}
        self.running_calls = set()

    def build_document(self, revision):
        raw = build_raw_document(
            entries=len(self.peer_addresses), agents=0, ledgers=0, regions=["mtl"]
        )
        for index, instance in enumerate(raw["register"]["instances"]):
            instance["http_address"], instance["peer_address"] = (
                self.http_addresses[index],
                self.peer_addresses[index],
            )
        raw["rules"]["workspaces"].append({"name": f"revision-{revision}"})
        return PublishedDocument(revision, json.dumps(raw).encode())

    def start(self, index):
        settings = EntrySettings(
            f"e{index + 1}",
            "mtl-1",
            self.http_addresses[index],
            self.peer_addresses[index],
            free_address(),
            free_address(),
            peers=tuple(self.peer_addresses),
        )
        entry = Entry(settings)
        entry.daemon.config.service = self.services[index]
        self.entries.append(entry)
        entry.start()
        return entry

    def current_revisions(self):
        return [entry.daemon.config.keeper.revision for entry in self.entries]

    def accepted_revisions(self):
        return [
            [e.revision for e in entry.daemon.trail.events() if e.what.value == "config_accepted"]
            for entry in self.entries
        ]

    def wait_for_revisions(self, *revisions):
        with eventlet.Timeout(WAIT_TIMEOUT_S):
            while self.current_revisions() != list(revisions):
                eventlet.sleep(0.05)

    def call(self, link, method, *arguments):
        """Replace PeerLink.call and fail calls between different sides of the partition."""
        own_side, peer_side = self.sides.get(_caller_id(arguments)), self.sides.get(link.address)
        if own_side is not None and peer_side is not None and own_side != peer_side:
            raise PeerError("the peers are on different sides of the partition")
        token = object()
        self.running_calls.add(token)
        try:
            return REAL_CALL(link, method, *arguments)
        finally:
            self.running_calls.discard(token)

    def wait_for_running_calls(self):
        """Wait for calls from before a partition, which would carry later news across it."""
        earlier = set(self.running_calls)
        with eventlet.Timeout(WAIT_TIMEOUT_S):
            while earlier & self.running_calls:
                eventlet.sleep(0.05)


REAL_CALL = PeerLink.call


def _caller_id(arguments):
    return getattr(arguments[0], "instance_id", None) if arguments else None


class TestConfigSpread(unittest.TestCase):
    def setUp(self):
        # The fake services answer immediately, so without these pauses the watch would spin.
        patches = [
            mock.patch.object(config_task, "TICK_S", 0.1),
            mock.patch.object(config_task, "RETRY_MIN_S", 0.1),
            mock.patch.object(config_task, "RANDOM_READ_PROBABILITY", 0.2),
        ]
        for patch in patches:
            patch.start()
            self.addCleanup(patch.stop)

    def test_entries_shown_different_revisions_converge_on_the_newest(self):
        group = EntryGroup(3)
        for index, revision in enumerate((3, 7, 5)):
            group.services[index].document = group.build_document(revision)
            group.services[index].is_down = False
        for index in range(3):
            group.start(index)
        group.wait_for_revisions(7, 7, 7)
        for index, revision in enumerate((9, 2, 1)):
            group.services[index].document = group.build_document(revision)
        group.wait_for_revisions(9, 9, 9)
        for accepted in group.accepted_revisions():
            self.assertEqual(accepted, sorted(set(accepted)))

    def test_flapping_and_unavailable_services_do_not_revert_revisions(self):
        group = EntryGroup(3)
        group.services[0].document = group.build_document(4)
        group.services[0].is_down = False
        for index in range(3):
            group.start(index)
        group.wait_for_revisions(4, 4, 4)
        for step in range(6):
            group.services[0].is_down = step % 2 == 0
            group.services[0].document = group.build_document(4 if step % 3 else 2)
            eventlet.sleep(0.15)
        self.assertEqual(group.current_revisions(), [4, 4, 4])

    def test_partitioned_entries_keep_running_and_converge_after_healing(self):
        group = EntryGroup(4)
        for service in group.services:
            service.document = group.build_document(1)
            service.is_down = False
        with mock.patch.object(PeerLink, "call", lambda link, *a: group.call(link, *a)):
            for index in range(4):
                group.start(index)
            group.wait_for_revisions(1, 1, 1, 1)
            for index in range(4):
                side = index % 2
                group.sides[f"e{index + 1}"] = group.sides[group.peer_addresses[index]] = side
            group.wait_for_running_calls()
            for index, service in enumerate(group.services):
                service.document = group.build_document(6 if index % 2 else 1)
            group.wait_for_revisions(1, 6, 1, 6)
            eventlet.sleep(0.5)
            self.assertEqual(group.current_revisions(), [1, 6, 1, 6])
            group.sides.clear()
            group.wait_for_revisions(6, 6, 6, 6)
        for accepted in group.accepted_revisions():
            self.assertEqual(accepted, sorted(set(accepted)))
