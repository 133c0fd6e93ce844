from __future__ import annotations

import unittest

from lotushill.duties.duty_record import DutyRecord
from lotushill.duties.lease import Lease
from lotushill.duties.lease import LeaseOptions

OTHER_HOLDER = DutyRecord("other", 1)


class TestLease(unittest.TestCase):
    def lease(self, fenced: bool = True) -> Lease:
        return Lease("own", 1, LeaseOptions(3.0, fenced), now=0.0)

    def test_takeover_waits_a_whole_lease_from_the_last_change(self) -> None:
        lease = self.lease()
        lease.observe(7, 10.0)
        lease.observe(8, 12.0)
        lease.observe(8, 14.9)
        self.assertFalse(lease.may_acquire(OTHER_HOLDER, 14.9))
        self.assertTrue(lease.may_acquire(OTHER_HOLDER, 15.0))
        self.assertFalse(lease.may_acquire(OTHER_HOLDER, 15.0, is_first_candidate=False))

    def test_handed_over_duties_are_acquired_at_once(self) -> None:
        lease = self.lease()
        lease.observe(8, 12.0)
        self.assertTrue(lease.may_acquire(DutyRecord("", 1), 12.0))

    def test_new_process_waits_a_lease_before_it_acquires_the_duties(self) -> None:
        lease = self.lease()
        self.assertFalse(lease.may_acquire(DutyRecord("", 1), 2.9))

    def test_former_holder_backs_off_for_two_leases(self) -> None:
        lease = self.lease()
        lease.acquire(9, 10.0)
        lease.lose(11.0)
        self.assertFalse(lease.may_act(11.0))
        self.assertFalse(lease.may_acquire(DutyRecord("", 1), 16.9))
        self.assertTrue(lease.may_acquire(DutyRecord("", 1), 17.0))

    def test_without_checked_tokens_work_ends_half_a_lease_after_the_last_write(self) -> None:
        lease = self.lease(fenced=False)
        lease.acquire(9, 10.0)
        self.assertTrue(lease.may_act(11.4))
        self.assertFalse(lease.may_act(11.5))
        lease.renew(11.0)
        self.assertTrue(lease.may_act(12.4))

    def test_with_checked_tokens_a_store_outage_stops_no_call(self) -> None:
        lease = self.lease(fenced=True)
        lease.acquire(9, 10.0)
        self.assertTrue(lease.may_act(60.0))
