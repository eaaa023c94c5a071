"""Guards what is used while a registration may have ended."""

import testtools

from burdockcart.process.gateway.store import registration_time

TTL_S = 8.0 + registration_time.CLOCK_MARGIN_S


class Clock:
    """A clock that a test sets."""

    at = 10.0

    def now(self):
        """Return the time in seconds."""
        return self.at


class TestRegistrationTime(testtools.TestCase):
    """Times in which the list of daemons has this process."""

    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.times = registration_time.RegistrationTime(self.clock, TTL_S)

    def _registered(self, at, era=0):
        self.clock.at = at + 1.0
        self.times.registered(era, at)

    def test_not_registered(self):
        """A process that nobody has seen must not use what it got."""
        self.assertFalse(self.times.covers(10.0, 10.0))

    def test_report_before_the_registration(self):
        """Its answer may come from an owner that has ended meanwhile."""
        self._registered(10.0)
        self.assertFalse(self.times.covers(10.9, 11.0))
        self.assertTrue(self.times.covers(11.0, 11.0))

    def test_renewal_is_late(self):
        """The lifetime counts from when the last answered call was sent."""
        self._registered(10.0)
        self.assertTrue(self.times.covers(11.0, 17.9))
        self.assertFalse(self.times.covers(11.0, 18.0))
        self.times.renewed(0, 12.0)
        self.assertTrue(self.times.covers(11.0, 19.9))
        self.times.renewed(0, 11.0)
        self.assertTrue(self.times.covers(11.0, 19.9))

    def test_registered_again(self):
        """The list may have been read without it in between."""
        self._registered(10.0)
        self.times.ended()
        self.assertFalse(self.times.covers(11.0, 12.0))
        self._registered(12.0)
        self.assertFalse(self.times.covers(11.0, 13.0))
        self.assertTrue(self.times.covers(13.0, 13.0))

    def test_restored_store(self):
        """Reports are not refused then, but those of before are not freed."""
        self._registered(10.0)
        self.times.renewed(1, 15.0)
        self.assertFalse(self.times.covers(11.0, 18.0))
        self._registered(16.0, era=1)
        self.assertTrue(self.times.covers(11.0, 17.9))
        self.assertFalse(self.times.covers(11.0, 18.0))
        self.assertFalse(self.times.covers(16.9, 18.0))
        self.assertTrue(self.times.covers(17.0, 99.0))
        self.times.ended()
        self.assertTrue(self.times.covers(17.0, 99.0))
