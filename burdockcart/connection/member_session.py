"""Session state of a member connection that client sessions share.

Explanation
===========

Connections are shared, so the session values and prepared statements of one
client remain on a connection that another client uses next.  Before a
statement runs, the connection is brought to the state that the client
expects, with as few statements as possible.

"""

import enum

import msgspec

from burdockcart.request import command


class StepKind(enum.Enum):
    """Statement that the proxy itself sends to a member."""

    RESET = "reset"
    SET = "set"
    PREPARE = "prepare"


class Step(msgspec.Struct, frozen=True):
    """One setup statement."""

    kind: StepKind
    name: str = ""
    value: str = ""
    shape: command.Shape | None = None


class MemberSession:
    """Session values and prepared shapes of one member connection.

    Examples
    ========

    >>> from burdockcart.connection import member_session
    >>> held = member_session.MemberSession()
    >>> [step.kind.value for step in held.steps({"zone": "a"}, None)]
    ['set']
    >>> for step in held.steps({"zone": "a"}, None):
    ...     held.done(step)
    >>> held.steps({"zone": "a"}, None)
    []
    >>> [step.kind.value for step in held.steps({}, None)]
    ['reset']

    """

    def __init__(self) -> None:
        self.value_by_name: dict[str, str] = {}
        self.prepared: set[command.Shape] = set()

    def steps(
        self, value_by_name: dict[str, str], shape: command.Shape | None
    ) -> list[Step]:
        """Return the statements that establish the given state."""
        steps = []
        held, prepared = self.value_by_name, self.prepared
        if held.keys() - value_by_name.keys():
            steps.append(Step(StepKind.RESET))
            held, prepared = {}, set()
        steps += [
            Step(StepKind.SET, name, value)
            for name, value in value_by_name.items()
            if held.get(name) != value
        ]
        if shape is not None and shape not in prepared:
            steps.append(Step(StepKind.PREPARE, shape.member_name, "", shape))
        return steps

    def done(self, step: Step) -> None:
        """Record a step that the member acknowledged."""
        if step.kind is StepKind.RESET:
            self.value_by_name = {}
            self.prepared = set()
        elif step.kind is StepKind.SET:
            self.value_by_name[step.name] = step.value
        elif step.shape is not None:
            self.prepared.add(step.shape)
