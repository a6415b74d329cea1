"""A node that starts refuses for good only once its peers could tell a newer version.

Guards against 404 and 401 by an older version that is the newest record in the store.
"""

import unittest
from types import SimpleNamespace

from auburnwall.node.routed.peer_status import ConfigStatus
from auburnwall.node.routed.version_confirmation import (
    CONFIRM_S,
    VersionConfirmation,
)
from tests.state.test_table import FakeClock


class VersionConfirmationTests(unittest.TestCase):
    def setUp(self):
        self.clock, self.peers = FakeClock(), {}
        self.replica = SimpleNamespace(loaded_at=None)
        self.newest = 158
        self.confirmation = VersionConfirmation(
            self.replica, lambda: self.newest, lambda: self.peers, self.clock
        )

    def tell(self, name, version, is_current=True):
        self.peers[name] = ConfigStatus(version, is_current)

    def load(self):
        self.replica.loaded_at = self.clock.now

    def test_nothing_is_confirmed_before_the_first_read(self):
        self.tell("n2", 158)
        self.clock.now += CONFIRM_S
        self.assertFalse(self.confirmation.is_over())

    def test_peer_with_the_same_version_confirms_it(self):
        self.load()
        self.assertFalse(self.confirmation.is_over())
        self.tell("n2", 158)
        self.assertTrue(self.confirmation.is_over())

    def test_peer_with_a_higher_version_does_not_until_it_is_copied(self):
        self.load()
        self.tell("n2", 160)
        self.tell("n3", 158)
        self.assertFalse(self.confirmation.is_over())
        self.newest = 160
        self.assertTrue(self.confirmation.is_over())

    def test_peer_that_is_not_sure_itself_does_not_confirm_a_version(self):
        self.load()
        self.tell("n2", 158, is_current=False)
        self.assertFalse(self.confirmation.is_over())
        self.tell("n3", 158)
        self.assertTrue(self.confirmation.is_over())

    def test_higher_version_of_a_peer_that_is_not_sure_itself_counts(self):
        self.load()
        self.tell("n2", 160, is_current=False)
        self.tell("n3", 158)
        self.assertFalse(self.confirmation.is_over())

    def test_node_without_peers_goes_by_what_it_has_read_after_a_time(self):
        self.load()
        self.clock.now += CONFIRM_S - 0.01
        self.assertFalse(self.confirmation.is_over())
        self.clock.now += 0.02
        self.assertTrue(self.confirmation.is_over())

    def test_later_versions_of_peers_do_not_end_it(self):
        """From then on the age of the copy and the keeper answer for it."""
        self.load()
        self.tell("n2", 158)
        self.assertTrue(self.confirmation.is_over())
        self.tell("n2", 170)
        self.assertTrue(self.confirmation.is_over())


if __name__ == "__main__":
    unittest.main()
