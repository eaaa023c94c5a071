"""In-memory store of the platform, as one daemon or operator reaches it."""

import asyncio

from returns import result

from burdockcart.emulator import store as emulated_store
from burdockcart.process import store_client


class FakeStore:
    """The platform's service as one daemon or operator reaches it."""

    def __init__(self, source, wire, store=None, hosts=None):
        self.source = source
        self.wire = wire
        self.store = store or emulated_store.Store()
        self.host_rows = hosts if hosts is not None else []
        self.outage = False
        self.lose_answers = 0
        self.calls = 0

    def _now(self):
        return asyncio.get_running_loop().time()

    async def _enter(self):
        self.calls += 1
        if not await self.wire.transmit(self.source, "store"):
            await asyncio.sleep(store_client.REQUEST_TIMEOUT_S)
            return False
        return not self.outage

    def _item(self, key, item):
        return store_client.Item(key, item.value, item.revision)

    async def get(self, key):
        if not await self._enter():
            return result.Failure(store_client.StoreFault.NO_ANSWER)
        item = self.store.get(key, self._now())
        if item is None:
            return result.Failure(store_client.StoreFault.MISSING)
        return result.Success(self._item(key, item))

    async def put(self, key, value, expected):
        if not await self._enter():
            return result.Failure(store_client.StoreFault.NO_ANSWER)
        try:
            item = self.store.put(key, value, expected, self._now())
        except emulated_store.Conflict:
            return result.Failure(store_client.StoreFault.CONFLICT)
        if self.lose_answers:
            self.lose_answers -= 1
            return result.Failure(store_client.StoreFault.NO_ANSWER)
        return result.Success(self._item(key, item))

    async def watch(self, key, after, timeout_s):
        if not await self._enter():
            return result.Failure(store_client.StoreFault.NO_ANSWER)
        until = self._now() + timeout_s
        while self._now() < until:
            item = self.store.get(key, self._now())
            if item is not None and item.revision > after:
                if self.outage or not await self.wire.transmit(
                    "store", self.source
                ):
                    break
                return result.Success(self._item(key, item))
            await asyncio.sleep(0.02)
        if self.outage or ("store", self.source) in self.wire.cut:
            return result.Failure(store_client.StoreFault.NO_ANSWER)
        return result.Failure(store_client.StoreFault.MISSING)

    async def list_prefix(self, prefix):
        if not await self._enter():
            return result.Failure(store_client.StoreFault.NO_ANSWER)
        items = self.store.list(prefix, self._now())
        return result.Success([self._item(k, i) for k, i in items.items()])

    async def delete(self, key):
        if not await self._enter():
            return result.Failure(store_client.StoreFault.NO_ANSWER)
        self.store.delete(key, self._now())
        return result.Success(None)

    async def hosts(self):
        if not await self._enter():
            return result.Failure(store_client.StoreFault.NO_ANSWER)
        return result.Success(list(self.host_rows))
