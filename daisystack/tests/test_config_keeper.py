import json
import unittest

from daisystack.core.bootstrap import BOOT_WAIT_S, Bootstrap
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
    def test_offers_in_every_order_never_revert(self):
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

    def test_a_refusal_names_every_fault_and_the_source(self):
        refused = ConfigKeeper().offer(published(1, format=9, colour="red"), "peer", 0.0)
        self.assertEqual((len(refused.faults), refused.source), (2, "peer"))


class TestBootstrap(unittest.TestCase):
    def test_the_service_alone_is_believed_only_after_the_wait(self):
        boot = Bootstrap({"p1", "p2"}, 0.0)
        boot.hold(published(3))
        self.assertFalse(boot.is_over(1.0))
        boot.peer_done("p1")
        boot.hold(published(8))
        self.assertFalse(boot.is_over(1.0))
        self.assertTrue(boot.is_over(BOOT_WAIT_S))
        self.assertEqual(boot.release().revision, 8)

    def test_it_is_over_once_all_peers_were_asked(self):
        boot = Bootstrap({"p1"}, 0.0)
        boot.peer_done("p1")
        self.assertTrue(boot.is_over(0.1))
        self.assertIsNone(boot.release())
