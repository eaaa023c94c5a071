"""The tables as a daemon holds them: compressed shards, decoded on demand.

Explanation
===========

A daemon serves a part of the callers and connects to a part of the members,
so it keeps the rows of a shard decoded only while they are used.  Routes
whose caller is a pattern may match any caller and stay decoded.
"""

import collections
import itertools
from typing import Any
from typing import Callable
from typing import Iterable
from typing import Iterator
from typing import Mapping
from typing import TypeVar
import zlib

import msgspec
from returns import result

from burdockcart import ids
from burdockcart.version import change
from burdockcart.version import patterns
from burdockcart.version import row_checks
from burdockcart.version import rows
from burdockcart.version import table_store

COMPRESSION_LEVEL = 1
#: A shard has at most 1 MB in the store; more is not decompressed.
MAX_SHARD_BYTES = 4 * 1024 * 1024
#: Rows kept decoded: callers and pools that this daemon served last.
KEPT_CALLERS = 4096
KEPT_POOLS = 1024

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(table_store.Shard)


class _RoutesOnly(msgspec.Struct, frozen=True):
    """Shard whose pools are skipped when it is decoded."""

    routes: tuple[rows.Route, ...] = ()


class _PoolsOnly(msgspec.Struct, frozen=True):
    """Shard whose routes are skipped when it is decoded."""

    pools: tuple[rows.Pool, ...] = ()


_ROUTES_DECODER = msgspec.msgpack.Decoder(_RoutesOnly)
_POOLS_DECODER = msgspec.msgpack.Decoder(_PoolsOnly)
_Decoded = TypeVar("_Decoded")
_EMPTY_SHARD = table_store.Shard(ids.TableVersion(0))


def encode_shard(shard: table_store.Shard) -> bytes:
    """Return a shard in the form that daemons hold and exchange."""
    return zlib.compress(_ENCODER.encode(shard), COMPRESSION_LEVEL)


def decode_shard(blob: bytes) -> table_store.Shard:
    """Return the shard of a blob.

    Raises
    ======

    ValueError
        The blob is corrupt or too large.

    """
    return _decode(blob, _DECODER)


def _decode(
    blob: bytes, decoder: msgspec.msgpack.Decoder[_Decoded]
) -> _Decoded:
    try:
        stream = zlib.decompressobj()
        data = stream.decompress(blob, MAX_SHARD_BYTES)
        if stream.unconsumed_tail or not stream.eof:
            raise ValueError("shard is too large or cut off")
        return decoder.decode(data)
    except (zlib.error, msgspec.MsgspecError, UnicodeError) as error:
        raise ValueError(str(error)) from error


_EMPTY_BLOB = encode_shard(_EMPTY_SHARD)


class TableImage:
    """One version of the tables; it does not change once made.

    Parameters
    ==========

    blobs : tuple of bytes
        Shards in the form of :func:`encode_shard`.

    """

    def __init__(
        self, version: ids.TableVersion, blobs: tuple[bytes, ...]
    ) -> None:
        self.version = version
        self.blobs = blobs
        self._shard_by_route: dict[str, int] = {}
        self._pattern_routes: dict[int, tuple[rows.Route, ...]] = {}
        self._kept_routes: collections.OrderedDict[
            str, tuple[rows.Route, ...]
        ] = collections.OrderedDict()
        self._kept_pools: collections.OrderedDict[str, rows.Pool] = (
            collections.OrderedDict()
        )
        self._pool_names: dict[int, tuple[str, ...]] = {}
        self._patterns: tuple[rows.Route, ...] = ()

    @classmethod
    def empty(cls) -> "TableImage":
        """Return the image of version 0."""
        return cls(ids.TableVersion(0), (_EMPTY_BLOB,) * table_store.SHARDS)

    def after(self, each: change.Change) -> result.Result["TableImage", str]:
        """Return the image after a change, or why the change is refused."""
        base = self if each.parent else TableImage.empty()
        if each.parent != base.version or each.version <= self.version:
            text = f"change {each.parent}->{each.version} does not follow "
            return result.Failure(text + f"version {self.version}")
        fault = _edit_fault(base, each.edits)
        if fault:
            return result.Failure(fault)
        edits_by_shard: dict[int, list[change.Edit]] = {}
        for edit in each.edits:
            for number in table_store.shards_of_edit(edit):
                edits_by_shard.setdefault(number, []).append(edit)
        blobs = list(base.blobs)
        made = TableImage(each.version, ())
        made._shard_by_route = dict(base._shard_by_route)
        made._pattern_routes = dict(base._pattern_routes)
        made._pool_names = dict(base._pool_names)
        for number, edits in edits_by_shard.items():
            shard = table_store.apply_edits_to_shard(
                base.shard(number), number, edits, each.version
            )
            blobs[number] = encode_shard(shard)
        made.blobs = tuple(blobs)
        for edit in each.edits:
            made._shard_by_route.pop(edit.name, None)
        for number in edits_by_shard:
            made._index(number, made.shard(number))
        made._collect()
        return result.Success(made)

    def shard(self, number: int) -> table_store.Shard:
        """Return the rows of a shard."""
        return decode_shard(self.blobs[number])

    def tables(self) -> "ImageTables":
        """Return the tables, whose rows are decoded when they are read."""
        return ImageTables(
            self.version,
            _LazyRows(
                self.route,
                self._shard_by_route,
                lambda: self._all(self._routes),
            ),
            _LazyRows(
                self.pool,
                dict.fromkeys(itertools.chain(*self._pool_names.values())),
                lambda: self._all(self._pools),
            ),
            self,
        )

    def routes_for(self, caller: str) -> Iterable[rows.Route]:
        """Return the routes that may match the work of a caller."""
        own = self._kept_routes.get(caller)
        if own is None:
            routes = self._routes(table_store.shard_of_caller(caller))
            own = tuple(each for each in routes if each.caller == caller)
            self._kept_routes[caller] = own
            if len(self._kept_routes) > KEPT_CALLERS:
                self._kept_routes.popitem(last=False)
        return itertools.chain(own, self._patterns)

    def route(self, name: str) -> rows.Route | None:
        """Return a route by its name."""
        number = self._shard_by_route.get(name)
        if number is None:
            return None
        found = (r for r in self._routes(number) if r.name == name)
        return next(found, None)

    def pool(self, name: str) -> rows.Pool | None:
        """Return a pool by its name."""
        kept = self._kept_pools.get(name)
        if kept is not None:
            return kept
        number = table_store.shard_of_pool(name)
        if name not in self._pool_names.get(number, ()):
            return None
        for each in self._pools(number):
            if each.name == name:
                self._kept_pools[name] = each
                if len(self._kept_pools) > KEPT_POOLS:
                    self._kept_pools.popitem(last=False)
                return each
        return None

    def _routes(self, number: int) -> tuple[rows.Route, ...]:
        return _decode(self.blobs[number], _ROUTES_DECODER).routes

    def _pools(self, number: int) -> tuple[rows.Pool, ...]:
        return _decode(self.blobs[number], _POOLS_DECODER).pools

    def _all(self, rows_of: Callable[[int], Iterable[Any]]) -> Iterator[Any]:
        for number in range(table_store.SHARDS):
            yield from rows_of(number)

    def _index(self, number: int, shard: table_store.Shard) -> None:
        found = tuple(
            route
            for route in shard.routes
            if not patterns.is_literal(route.caller)
        )
        for by_shard, value in (
            (self._pattern_routes, found),
            (self._pool_names, tuple(pool.name for pool in shard.pools)),
        ):
            by_shard.pop(number, None)
            if value:
                by_shard[number] = value  # type: ignore[assignment]
        for route in shard.routes:
            self._shard_by_route[route.name] = number

    def _collect(self) -> None:
        self._patterns = tuple(itertools.chain(*self._pattern_routes.values()))


class ImageLoader:
    """Checks all shards of a version, one at each step.

    Parameters
    ==========

    blobs : sequence of bytes
        All shards in the form of :func:`encode_shard`.

    Raises
    ======

    ValueError
        From :meth:`step`: a shard is corrupt or a row is not valid.

    """

    def __init__(self, version: ids.TableVersion, blobs: Iterable[bytes]):
        self.image = TableImage(version, tuple(blobs))
        self._number = 0
        self._used: set[str] = set()

    def step(self) -> bool:
        """Check the next shard; return False when all are checked."""
        count = len(self.image.blobs)
        if count != table_store.SHARDS:
            raise ValueError(f"{count} shards")
        shard = self.image.shard(self._number)
        for fault in _shard_faults(shard):
            raise ValueError(str(fault))
        self.image._index(self._number, shard)
        self._used.update(route.pool for route in shard.routes)
        self._number += 1
        if self._number < count:
            return True
        names = itertools.chain(*self.image._pool_names.values())
        missing = self._used - set(names)
        if missing:
            raise ValueError(f"no pool {min(missing)!r}")
        self.image._collect()
        return False


class _LazyRows(Mapping[str, Any]):
    """Rows by name that are decoded when they are read."""

    def __init__(
        self,
        find: Callable[[str], Any],
        names: Mapping[str, Any],
        every: Callable[[], Iterator[Any]],
    ):
        self._find = find
        self._names = names
        self._every = every

    def __getitem__(self, name: str) -> Any:
        row = self._find(name)
        if row is None:
            raise KeyError(name)
        return row

    def __iter__(self) -> Iterator[str]:
        return iter(self._names)

    def __len__(self) -> int:
        return len(self._names)

    def values(self) -> Any:
        """Return all rows, decoding one shard at a time."""
        return list(self._every())

    def items(self) -> Any:
        """Return all names and rows, decoding one shard at a time."""
        return [(row.name, row) for row in self._every()]


class ImageTables(rows.Tables, frozen=True):
    """Tables over an image."""

    image: TableImage

    def routes_for(self, caller: str) -> Iterable[rows.Route]:
        """Return the routes that may match the work of a caller."""
        return self.image.routes_for(caller)


def _shard_faults(
    shard: table_store.Shard,
) -> Iterator[row_checks.Fault]:
    for route in shard.routes:
        yield from row_checks.check_route(route)
    for pool in shard.pools:
        yield from row_checks.check_pool(pool, addresses=False)


def _edit_fault(
    base: TableImage, edits: tuple[change.Edit, ...]
) -> str | None:
    """Return why edits can't be put in force on an image, or None."""
    pool_by_name: dict[str, rows.Pool | None] = {}
    for edit in edits:
        if isinstance(edit, change.PoolEdit):
            present: Any = base.pool(edit.name)
            pool_by_name[edit.name] = edit.new
        else:
            present = base.route(edit.name)
        if present != edit.old:
            return f"row {edit.name!r} is not as expected"
    fault = next(
        _shard_faults(
            table_store.Shard(
                base.version,
                tuple(
                    edit.new
                    for edit in edits
                    if isinstance(edit, change.RouteEdit) and edit.new
                ),
                tuple(pool for pool in pool_by_name.values() if pool),
            )
        ),
        None,
    )
    return str(fault) if fault else _reference_fault(base, edits, pool_by_name)


def _reference_fault(
    base: TableImage,
    edits: tuple[change.Edit, ...],
    pool_by_name: dict[str, rows.Pool | None],
) -> str | None:
    new_by_route = {
        edit.name: edit.new
        for edit in edits
        if isinstance(edit, change.RouteEdit)
    }
    for route in new_by_route.values():
        if route is None:
            continue
        if not pool_by_name.get(route.pool, base.pool(route.pool)):
            return f"route {route.name!r} names no pool: {route.pool!r}"
    removed = {name for name, pool in pool_by_name.items() if pool is None}
    if not removed:
        return None
    # Only the removal of a pool needs all routes.
    for number in range(table_store.SHARDS):
        for route in base._routes(number):
            if route.pool in removed and route.name not in new_by_route:
                return f"route {route.name!r} names a removed pool"
    return None
