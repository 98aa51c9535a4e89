"""Publish entries with odd values beside sound ones; the sound ones must stay in use."""

import copy
import json
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from daisystack.core.direct_settings import DirectEntrySettings, ProcessIdentity
from daisystack.core.mirror import Change, Delta, Snapshot
from daisystack.core.placement.records import PlacementRequirements, Refusal
from daisystack.runtime import tasks
from daisystack.runtime.clock import now_s
from daisystack.runtime.direct_entry import DirectEntry
from daisystack.testing.scripted import free_address
from daisystack.tests.on_platform.adapter import CONFIG, SERVER, DocumentReader, HeaderDialect
from daisystack.wire import mesh

PREFIXES = ("op/", "servers/")
ODD = '"odd"'
# JSON texts; the deepest ones can't be parsed, the others hardly be shown.
ODD_TEXTS = st.one_of(
    st.sampled_from([9, 10, 18, 19, 63, 308, 400, 4299, 5000]).map(lambda n: "1" + n * "0"),
    st.sampled_from([100, 900, 960, 980, 990, 100_000]).map(lambda n: n * "[" + n * "]"),
    st.sampled_from(["-1", "1e308", "1e999", "NaN", "-Infinity", "null", "true", "{}", "[{}]"]),
    st.sampled_from(
        ["10.0.0.1:65536", "10.0.0.1:99999999999", "10.0.0.1:0", "a:80", "1:" * 999]
    ).flatmap(lambda text: st.just(json.dumps(text))),
    st.sampled_from([r'"\ud800"', r'"a\u0000b"', '"\u00b2"', json.dumps("x" * 100_000)]),
)
SERVER_FIELDS = sorted(SERVER) + ["layers.0.to", "models.0.version"]
CONFIG_FIELDS = ["version", "limits.idle_timeout_ms", "services.0.max_connections"]
CONFIG_FIELDS += [f"routes.0.{name}" for name in CONFIG["routes"][0]]
CONFIG_FIELDS += [f"services.0.engine.{name}" for name in CONFIG["services"][0]["engine"]]
CONFIG_FIELDS += ["services.1.origin", "services.0.engine.models.0.warm_s", "tenants.0.priority"]


def write_odd(document, path, text):
    """Return the JSON of a document with a JSON text in place of the value at a path."""
    document = copy.deepcopy(document)
    place, steps = document, path.split(".")
    for step in steps[:-1]:
        place = place[int(step) if step.isdigit() else step]
    place[steps[-1]] = "odd"
    return json.dumps(document).replace(ODD, text).encode("utf-8", "surrogatepass")


def build_entry():
    identity = ProcessIdentity("e1", "mtl-a", "mtl", ())
    addresses = [free_address() for _ in range(6)]
    options = DirectEntrySettings(identity, *addresses, 1.0, 8.0, 2.0, 5.0, 8.0, 0.2, 100.0, 10.0)
    reader = DocumentReader()
    return DirectEntry(options, *PREFIXES, None, reader, HeaderDialect(), None)


def encode(message):
    message.write(TBinaryProtocolAccelerated(TMemoryBuffer()))


class TestOddPublications(unittest.TestCase):
    def apply(self, entry, values):
        """Apply a read of the store; return the changes that entries tell each other."""
        changes = [Change(key, 1 + index, value) for index, (key, value) in enumerate(values)]
        for prefix in PREFIXES:
            mirror = entry.mirrors[prefix]
            held = tuple(change for change in changes if change.key.startswith(prefix))
            entry.apply_changes(mirror, mirror.apply_snapshot(Snapshot(held, 9, now_s())))
        return tuple(changes)

    def check_sound_upstream(self, entry, changes):
        placement = entry.requests.placement
        seen = set()
        for _ in range(20):
            chosen = placement.choose(PlacementRequirements("pool", "mtl-a"), now_s())
            self.assertNotIsInstance(chosen, Refusal)
            placement.begin(chosen.id, 100, now_s())
            seen.add(chosen.id)
        self.assertIn("sound", seen)
        encode(entry.mesh.build_news(now_s(), "mtl-a"))
        encode(mesh.delta_to_wire(Delta(changes, 9, 0.0, True)))

    # LOST: a number that fits no float ended the reading of a list, and what followed in it stayed
    # unknown for good; one in the slots ended each choice of an upstream.
    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(st.sampled_from(SERVER_FIELDS), ODD_TEXTS)
    def test_an_odd_entry_of_an_upstream_keeps_no_other_away(self, path, text):
        entry = build_entry()
        config = json.dumps(CONFIG).encode()
        odd, sound = write_odd(SERVER, path, text), json.dumps(SERVER).encode()
        with mock.patch.object(tasks._logger, "exception") as failed:
            values = [("op/config", config), ("servers/odd", odd), ("servers/sound", sound)]
            changes = self.apply(entry, values)
            self.check_sound_upstream(entry, changes)
        failed.assert_not_called()

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(st.sampled_from(CONFIG_FIELDS), ODD_TEXTS)
    def test_an_odd_configuration_is_refused_or_can_be_served(self, path, text):
        entry = build_entry()
        with mock.patch.object(tasks._logger, "exception") as failed:
            values = [
                ("op/config", json.dumps(CONFIG).encode()),
                ("servers/sound", json.dumps(SERVER).encode()),
            ]
            self.apply(entry, values)
            odd = Change("op/config", 10, write_odd(CONFIG, path, text))
            mirror = entry.mirrors["op/"]
            entry.apply_changes(mirror, mirror.apply_events([odd]))
            self.check_sound_upstream(entry, (odd,))
        failed.assert_not_called()


if __name__ == "__main__":
    unittest.main()
