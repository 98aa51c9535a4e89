import unittest

from daisystack.core.entry_addresses import list_entry_addresses
from daisystack.core.peers import PeerState, PeerTable
from daisystack.testing import build_document, build_status


class TestEntryAddresses(unittest.TestCase):
    def setUp(self):
        self.document = build_document(entries=4)
        self.peers = PeerTable()
        for name in ("e2", "e3", "e4"):
            self.peers.apply_heartbeat(build_status(name), 10.0)

    def names(self, leaving=False, zone="mtl-1", now_s=10.0):
        found = list_entry_addresses(self.document, "e1", leaving, zone, self.peers, now_s)
        return [entry.instance for entry in found]

    def test_entries_in_caller_zone_are_listed_first(self):
        self.assertEqual(self.names(), ["e1", "e4", "e2", "e3"])
        self.assertEqual(self.names(zone="qc-1")[0], "e2")
        self.assertEqual(len(self.names(zone="unknown")), 4)

    def test_leaving_and_suspected_entries_are_excluded(self):
        self.peers.apply_heartbeat(build_status("e2", leaving=True, uptime_s=101.0), 10.0)
        self.assertEqual(self.names(), ["e1", "e4", "e3"])
        self.assertEqual(self.names(leaving=True), ["e4", "e3"])
        self.assertEqual(self.names(now_s=14.0), ["e1"])


class TestPeerTable(unittest.TestCase):
    def test_peer_is_suspected_after_timeout_and_recovers(self):
        peers = PeerTable()
        self.assertIs(peers.state("p", 0.0), PeerState.UNKNOWN)
        peers.record_heartbeat_sent("p", 0.0)
        self.assertIs(peers.state("p", 2.9), PeerState.UNKNOWN)
        self.assertIs(peers.state("p", 3.1), PeerState.SUSPECTED)
        peers.apply_heartbeat(build_status("p"), 4.0)
        self.assertIs(peers.state("p", 6.9), PeerState.ALIVE)
        self.assertIs(peers.state("p", 7.1), PeerState.SUSPECTED)
        peers.apply_heartbeat(build_status("p", uptime_s=110.0), 8.0)
        self.assertIs(peers.state("p", 8.0), PeerState.ALIVE)

    def test_local_pause_does_not_cause_suspicion(self):
        peers = PeerTable()
        peers.apply_heartbeat(build_status("p"), 0.0)
        peers.shift_times(60.0)
        self.assertIs(peers.state("p", 60.5), PeerState.ALIVE)
        self.assertIs(peers.state("p", 63.5), PeerState.SUSPECTED)

    def test_replacement_with_earlier_clock_is_accepted_once_old_incarnation_times_out(self):
        peers = PeerTable()
        peers.apply_heartbeat(build_status("p", incarnation="9"), 0.0)
        peers.apply_heartbeat(build_status("p", incarnation="1", in_flight=7), 1.0)
        self.assertEqual(peers.status("p").incarnation, "9")
        peers.apply_heartbeat(build_status("p", incarnation="1", in_flight=7), 3.5)
        self.assertEqual(peers.status("p").in_flight, 7)

    def test_late_heartbeats_do_not_replace_newer_ones(self):
        peers = PeerTable()
        table = [
            (dict(incarnation="2", uptime_s=5.0, in_flight=1), 1),
            (dict(incarnation="2", uptime_s=4.0, in_flight=2), 1),
            (dict(incarnation="1", uptime_s=90.0, in_flight=3), 1),
            (dict(incarnation="2", uptime_s=6.0, in_flight=4), 4),
            (dict(incarnation="3", uptime_s=0.1, in_flight=5), 5),
        ]
        for fields, in_flight in table:
            with self.subTest(fields=fields):
                peers.apply_heartbeat(build_status("p", **fields), 1.0)
                self.assertEqual(peers.status("p").in_flight, in_flight)
