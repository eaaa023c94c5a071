"""Guards the promotion state machine under any order of events."""

import functools
import random

from burdockcart.emulator import replication
from burdockcart.process import peer_messages
from burdockcart.process import promotion
from burdockcart.request import acknowledgement
from burdockcart.version import rows
import testtools

NAMES = ("a", "b", "c")
GROUP = rows.Group("g", tuple(rows.Member(n, n, n) for n in NAMES))


def state_of(member):
    return peer_messages.MemberState(
        member=member.name,
        term=member.term,
        role=member.role,
        position=member.position,
        log_term=member.log_term,
    )


class Model:
    """Three members and attempts whose messages arrive in any order."""

    def __init__(self, positions):
        self.now = 0.0
        self.members = {n: replication.MemberState(n, n == "a") for n in NAMES}
        for name, position in zip(NAMES, positions):
            self.members[name].entries = [
                replication.Entry(1, number, "r", [])
                for number in range(1, position + 1)
            ]
        self.attempts = []
        self.messages = []
        self.promoted = {}
        self.granted_at = {}

    def start(self):
        known = max(member.term for member in self.members.values())
        attempt = promotion.Promotion(
            GROUP, f"c{len(self.attempts)}", "a", known, self.now, alone=True
        )
        self.attempts.append(attempt)
        self.perform(attempt, attempt.start())

    def perform(self, attempt, commands):
        for command in commands:
            if isinstance(command, promotion.Check):
                for name in NAMES[1:]:
                    self.messages.append((self.check, attempt, name))
            elif isinstance(command, promotion.Adopt):
                for name in NAMES:
                    self.messages.append((self.adopt, attempt, name))
            elif isinstance(command, promotion.Promote):
                self.messages.append((self.promote, attempt, command.member))

    def answer(self, attempt, event):
        self.messages.append((self.deliver, attempt, event))

    def deliver(self, attempt, event):
        self.perform(attempt, event(self.now))

    def check(self, attempt, name):
        state = state_of(self.members[name])
        event = functools.partial(attempt.checked, name, state, None, True)
        self.answer(attempt, event)

    def adopt(self, attempt, name):
        member = self.members[name]
        granted = member.adopt(attempt.term, attempt.coordinator)
        if granted:
            self.granted_at.setdefault(attempt.term, []).append(self.now)
        event = functools.partial(
            attempt.granted, name, granted, state_of(member)
        )
        self.answer(attempt, event)

    def promote(self, attempt, name):
        member = self.members[name]
        granted = member.promote(attempt.term, attempt.coordinator)
        if granted:
            self.promoted.setdefault(attempt.term, {})[name] = self.now
        event = functools.partial(attempt.promoted, granted, state_of(member))
        self.answer(attempt, event)

    def step(self, choice, lost, passed):
        """Advance the time, then deliver or lose one message, if any."""
        self.now += passed
        if self.messages:
            action, *rest = self.messages.pop(choice % len(self.messages))
            if not lost:
                action(*rest)
        for attempt in self.attempts:
            if choice % 3 and not attempt.ended:
                self.perform(attempt, attempt.tick(self.now))


RUNS = 400
STEPS = 150
PASSED_S = (0.0, 0.0, 0.01, 0.01, 0.02, 0.05, 0.1)


class TestPromotion(testtools.TestCase):
    """Attempts of several coordinators with lost and delayed messages."""

    def run_random(self, seed):
        """Run up to three attempts with random losses and delays."""
        chance = random.Random(seed)
        model = Model([chance.randint(0, 3) for _ in NAMES])
        model.start()
        for _ in range(STEPS):
            if len(model.attempts) < 3 and chance.random() < 0.02:
                model.start()
            lost = chance.random() < 0.05
            passed = chance.choice(PASSED_S)
            if chance.random() < 0.01:
                passed = 1.0
            model.step(chance.randrange(60), lost, passed)
        return model

    def test_one_primary_for_a_term(self):
        """Guards against two primaries of a term and an early promotion."""
        changes = 0
        for seed in range(RUNS):
            model = self.run_random(seed)
            for term, at_by_member in model.promoted.items():
                changes += 1
                self.assertEqual(1, len(at_by_member), f"seed {seed}")
                grants = sorted(model.granted_at[term])
                self.assertGreaterEqual(len(grants), GROUP.majority)
                # The delay starts at the grant that completes the majority.
                fenced = grants[GROUP.majority - 1]
                waited = min(at_by_member.values()) - fenced
                self.assertGreater(
                    waited, acknowledgement.CONFIRMATION_VALID_S, seed
                )
        self.assertGreater(changes, RUNS / 10)

    def test_change_without_faults(self):
        """Guards against no promotion, or one that loses log entries."""
        for positions, expected in (
            ((0, 1, 2), "c"),
            ((0, 2, 2), "b"),
            # The old primary grants the term and has the longest log.
            ((3, 1, 2), "a"),
        ):
            model = Model(positions)
            model.start()
            for _ in range(100):
                model.step(1, False, 0.02)
            chosen = {term: [*by] for term, by in model.promoted.items()}
            self.assertEqual({2: [expected]}, chosen)

    def test_paused_attempt_gives_up(self):
        """Guards against a coordinator that continues after a pause."""
        for pause_after in range(70):
            model = Model((3, 2, 2))
            model.start()
            for _ in range(pause_after):
                model.step(1, False, 0.01)
            model.now += 5.0
            before = model.attempts[0].phase
            for _ in range(40):
                model.step(1, False, 0.01)
            if before not in (promotion.Phase.PROMOTING, promotion.Phase.DONE):
                self.assertEqual({}, model.promoted, pause_after)
