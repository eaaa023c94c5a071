"""Random steps of the safety model, weighted towards statements."""

from burdockcart.tests import safety_model

DAEMONS = ("d1-1", "d2-2", "d3-3")
MEMBERS = ("g-d1", "g-d2", "g-d3")
LINKS = tuple(
    (a, b)
    for a in DAEMONS + MEMBERS
    for b in DAEMONS + MEMBERS
    if a != b and (a in DAEMONS or b in DAEMONS or a < b)
)
OPERATIONS = ("read", "write")
KINDS = ("push", "archive")
DEADLINES_MS = (150, 600, 2000)
LAGS_S = (0.0, 0.05, 0.5)
PAUSES_S = (0.0, 0.001, 0.004, 0.02, 0.1, 0.5)

#: Weight and choices of each argument, by method of the model.
STEPS = {
    "submit": (
        30,
        (
            safety_model.CALLERS,
            DAEMONS,
            OPERATIONS,
            (True, False),
            KINDS,
            DEADLINES_MS,
        ),
    ),
    "resubmit": (6, (range(50), DAEMONS, (True, False))),
    "begin": (4, (safety_model.CALLERS, DAEMONS)),
    "inside": (8, (range(8), DAEMONS, OPERATIONS, (False, False, True))),
    "end": (4, (range(8), DAEMONS, ("commit", "commit", "rollback"))),
    "advance": (30, (PAUSES_S,)),
    "cut": (2, (LINKS,)),
    "fault_answers": (2, (tuple(safety_model.ANSWER_FAULTS),)),
    "lag": (1, (MEMBERS, LAGS_S)),
    "heal": (4, ()),
    "pause": (1, (DAEMONS,)),
    "resume": (3, ()),
    "kill": (0.2, (DAEMONS,)),
    "replace_primary": (1.5, ((True, False),)),
}


def run(random, steps, slots=2, one_way_s=0.001):
    """Run random steps on a new model; return its violations."""
    seed = random.getrandbits(32)
    model = safety_model.SafetyModel(seed, slots, one_way_s)
    names = list(STEPS)
    weights = [STEPS[name][0] for name in names]
    try:
        for name in random.choices(names, weights, k=steps):
            getattr(model, name)(
                *(random.choice(each) for each in STEPS[name][1])
            )
        return model.finish()
    finally:
        model.close()
