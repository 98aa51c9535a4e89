import json
import unittest

from daisystack.core.bootstrap import BOOTSTRAP_TIMEOUT_S, Bootstrap
from daisystack.core.config_keeper import (
    ConfigAccepted,
    ConfigIgnored,
    ConfigKeeper,
    ConfigRefused,
    PublishedDocument,
)
from daisystack.testing import build_raw_document


def published(revision, serve="a", **changes):
    return PublishedDocument(revision, json.dumps(build_raw_document(serve) | changes).encode())


class TestConfigKeeper(unittest.TestCase):
    def test_revision_never_decreases_for_any_order_of_offers(self):
        keeper = ConfigKeeper()
        table = [
            (published(5, "a"), ConfigAccepted, 5),
            (published(4, "b"), ConfigIgnored, 5),
            (published(5, "a"), ConfigIgnored, 5),
            (published(5, "b"), ConfigRefused, 5),
            (published(6, format=9), ConfigRefused, 5),
            (published(6, format=9), ConfigIgnored, 5),
            (published(6, "b"), ConfigAccepted, 6),
            (published(9, "a"), ConfigAccepted, 9),
            (published(1, "a"), ConfigIgnored, 9),
        ]
        for offer, outcome, revision in table:
            with self.subTest(revision=offer.revision):
                self.assertIsInstance(keeper.offer(offer, "test", 0.0), outcome)
                self.assertEqual(keeper.revision, revision)

    def test_refusal_lists_every_fault_and_source(self):
        refused = ConfigKeeper().offer(published(1, format=9, colour="red"), "peer", 0.0)
        self.assertEqual((len(refused.faults), refused.source), (2, "peer"))


class TestBootstrap(unittest.TestCase):
    def test_service_document_is_held_until_peers_respond_or_timeout(self):
        bootstrap = Bootstrap({"p1", "p2"}, 0.0)
        bootstrap.offer(published(3))
        self.assertFalse(bootstrap.is_complete(1.0))
        bootstrap.mark_peer_done("p1")
        bootstrap.offer(published(8))
        self.assertFalse(bootstrap.is_complete(1.0))
        self.assertTrue(bootstrap.is_complete(BOOTSTRAP_TIMEOUT_S))
        self.assertEqual(bootstrap.pop_newest().revision, 8)

    def test_bootstrap_completes_once_all_peers_responded(self):
        bootstrap = Bootstrap({"p1"}, 0.0)
        bootstrap.mark_peer_done("p1")
        self.assertTrue(bootstrap.is_complete(0.1))
        self.assertIsNone(bootstrap.pop_newest())
