"""Event loop in virtual time, which skips to the next scheduled call."""

import asyncio
import contextvars
import selectors

#: Least time by which each iteration of the loop advances the clock.
MIN_ADVANCE_S = 1e-7

#: Name of the node (daemon or member) that a callback belongs to.
NODE = contextvars.ContextVar("node", default=None)


def context_of(node):
    """Return a context whose callbacks belong to a node."""
    context = contextvars.copy_context()
    context.run(NODE.set, node)
    return context


class _VirtualTimeSelector(selectors.DefaultSelector):
    """Advances the time instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        events = super().select(0)
        if timeout is None and not events:
            raise RuntimeError("deadlock: nothing is scheduled")
        # Without a least advance, a wait shorter than the precision of the
        # clock would repeat forever.
        passed = MIN_ADVANCE_S if events else max(timeout, MIN_ADVANCE_S)
        self.now += passed
        return events


class VirtualLoop(asyncio.SelectorEventLoop):
    """Loop that starts at 0 s and jumps to the next scheduled call.

    The callbacks of a paused node are deferred until it is resumed, as if
    its process got no CPU time; the others go on.  ``pause_at`` maps a node
    to the number of the callback before which it is paused, so a test can
    pause it between any two steps of its tasks.
    """

    def __init__(self):
        self._skipping = _VirtualTimeSelector()
        super().__init__(self._skipping)
        self.paused = set()
        self.pause_at = {}
        self.steps = {}
        self._deferred = []

    def time(self):
        return self._skipping.now

    def block(self, duration_s):
        """Advance the time as if a callback had run for so long."""
        self._skipping.now += duration_s

    def resume(self, node):
        """Run the deferred callbacks of a node in their order of arrival."""
        self.paused.discard(node)
        deferred = [each for each in self._deferred if each[0] == node]
        self._deferred = [each for each in self._deferred if each[0] != node]
        for each, handle, callback, args, context in deferred:
            super().call_soon(
                self._run_callback,
                each,
                handle,
                callback,
                args,
                context,
                context=context,
            )

    def call_soon(self, callback, *args, context=None):
        if context is None:
            context = contextvars.copy_context()
        node = context.get(NODE)
        if node is None:
            return super().call_soon(callback, *args, context=context)
        handle = []
        handle.append(
            super().call_soon(
                self._run_callback,
                node,
                handle,
                callback,
                args,
                context,
                context=context,
            )
        )
        return handle[0]

    def call_at(self, when, callback, *args, context=None):
        if context is None:
            context = contextvars.copy_context()
        node = context.get(NODE)
        if node is None:
            return super().call_at(when, callback, *args, context=context)
        handle = []
        handle.append(
            super().call_at(
                when,
                self._run_callback,
                node,
                handle,
                callback,
                args,
                context,
                context=context,
            )
        )
        return handle[0]

    def _run_callback(self, node, handle, callback, args, context):
        if handle[0].cancelled():
            return
        self.steps[node] = self.steps.get(node, 0) + 1
        if self.pause_at.get(node) == self.steps[node]:
            self.paused.add(node)
        if node in self.paused:
            self._deferred.append((node, handle, callback, args, context))
            return
        callback(*args)


def run(coroutine):
    """Run a coroutine to its end on a new paused loop."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coroutine)
