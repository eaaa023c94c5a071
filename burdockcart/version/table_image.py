"""The tables as a daemon holds them: compressed shards, decoded on demand.

Explanation
===========

A daemon serves some of the callers and connects to some of the members, so it
keeps the rows of a shard decoded only while they are used.  Routes whose
caller is a pattern may match any caller and stay decoded.
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
#: Limit on a decompressed shard, in bytes; the store holds shards up to 1 MB.
MAX_SHARD_BYTES = 4 * 1024 * 1024
#: Sizes of the caches of decoded rows: routes by caller, and pools.
KEPT_CALLERS = 4096
KEPT_POOLS = 1024

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(table_store.Shard)


class _RoutesOnly(msgspec.Struct, frozen=True):
    """Shard decoded without its pools."""

    routes: tuple[rows.Route, ...] = ()


class _PoolsOnly(msgspec.Struct, frozen=True):
    """Shard decoded without its routes."""

    pools: tuple[rows.Pool, ...] = ()


_ROUTES_DECODER = msgspec.msgpack.Decoder(_RoutesOnly)
_POOLS_DECODER = msgspec.msgpack.Decoder(_PoolsOnly)
_Decoded = TypeVar("_Decoded")
_EMPTY_SHARD = table_store.Shard(ids.TableVersion(0))


def encode_shard(shard: table_store.Shard) -> bytes:
    """Return a shard in the form that daemons keep and exchange."""
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
    """Immutable image of one version of the tables.

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
        self._pattern_routes_by_shard: dict[int, tuple[rows.Route, ...]] = {}
        self._routes_by_caller: collections.OrderedDict[
            str, tuple[rows.Route, ...]
        ] = collections.OrderedDict()
        self._pool_by_name: collections.OrderedDict[str, rows.Pool] = (
            collections.OrderedDict()
        )
        self._pool_names_by_shard: dict[int, tuple[str, ...]] = {}
        self._pattern_routes: tuple[rows.Route, ...] = ()

    @classmethod
    def empty(cls) -> "TableImage":
        """Return the image of version 0."""
        return cls(ids.TableVersion(0), (_EMPTY_BLOB,) * table_store.SHARDS)

    def with_change(
        self, new_change: change.Change
    ) -> result.Result["TableImage", str]:
        """Return the image after a change, or why the change is refused."""
        base = self if new_change.parent else TableImage.empty()
        if (
            new_change.parent != base.version
            or new_change.version <= self.version
        ):
            text = (
                f"change {new_change.parent}->{new_change.version} "
                "does not follow "
            )
            return result.Failure(text + f"version {self.version}")
        fault = _edit_fault(base, new_change.edits)
        if fault:
            return result.Failure(fault)
        edits_by_shard: dict[int, list[change.Edit]] = {}
        for edit in new_change.edits:
            for number in table_store.shards_of_edit(edit):
                edits_by_shard.setdefault(number, []).append(edit)
        blobs = list(base.blobs)
        updated = TableImage(new_change.version, ())
        updated._shard_by_route = dict(base._shard_by_route)
        updated._pattern_routes_by_shard = dict(base._pattern_routes_by_shard)
        updated._pool_names_by_shard = dict(base._pool_names_by_shard)
        for number, edits in edits_by_shard.items():
            shard = table_store.apply_edits_to_shard(
                base.shard(number), number, edits, new_change.version
            )
            blobs[number] = encode_shard(shard)
        updated.blobs = tuple(blobs)
        for edit in new_change.edits:
            updated._shard_by_route.pop(edit.name, None)
        for number in edits_by_shard:
            updated._index_shard(number, updated.shard(number))
        updated._collect_pattern_routes()
        return result.Success(updated)

    def shard(self, number: int) -> table_store.Shard:
        """Return the rows of a shard."""
        return decode_shard(self.blobs[number])

    def tables(self) -> "ImageTables":
        """Return the tables; their rows are decoded when they are read."""
        return ImageTables(
            self.version,
            _LazyRows(
                self.route,
                self._shard_by_route,
                lambda: self._all_rows(self._routes),
            ),
            _LazyRows(
                self.pool,
                dict.fromkeys(
                    itertools.chain(*self._pool_names_by_shard.values())
                ),
                lambda: self._all_rows(self._pools),
            ),
            self,
        )

    def routes_for(self, caller: str) -> Iterable[rows.Route]:
        """Return the routes that may match the work of a caller."""
        own = self._routes_by_caller.get(caller)
        if own is None:
            routes = self._routes(table_store.shard_of_caller(caller))
            own = tuple(each for each in routes if each.caller == caller)
            self._routes_by_caller[caller] = own
            if len(self._routes_by_caller) > KEPT_CALLERS:
                self._routes_by_caller.popitem(last=False)
        return itertools.chain(own, self._pattern_routes)

    def route(self, name: str) -> rows.Route | None:
        """Return a route by its name."""
        number = self._shard_by_route.get(name)
        if number is None:
            return None
        found = (r for r in self._routes(number) if r.name == name)
        return next(found, None)

    def pool(self, name: str) -> rows.Pool | None:
        """Return a pool by its name."""
        cached = self._pool_by_name.get(name)
        if cached is not None:
            return cached
        number = table_store.shard_of_pool(name)
        if name not in self._pool_names_by_shard.get(number, ()):
            return None
        for each in self._pools(number):
            if each.name == name:
                self._pool_by_name[name] = each
                if len(self._pool_by_name) > KEPT_POOLS:
                    self._pool_by_name.popitem(last=False)
                return each
        return None

    def _routes(self, number: int) -> tuple[rows.Route, ...]:
        return _decode(self.blobs[number], _ROUTES_DECODER).routes

    def _pools(self, number: int) -> tuple[rows.Pool, ...]:
        return _decode(self.blobs[number], _POOLS_DECODER).pools

    def _all_rows(
        self, rows_of: Callable[[int], Iterable[Any]]
    ) -> Iterator[Any]:
        for number in range(table_store.SHARDS):
            yield from rows_of(number)

    def _index_shard(self, number: int, shard: table_store.Shard) -> None:
        found = tuple(
            route
            for route in shard.routes
            if not patterns.is_literal(route.caller)
        )
        for by_shard, value in (
            (self._pattern_routes_by_shard, found),
            (
                self._pool_names_by_shard,
                tuple(pool.name for pool in shard.pools),
            ),
        ):
            by_shard.pop(number, None)
            if value:
                by_shard[number] = value  # type: ignore[assignment]
        for route in shard.routes:
            self._shard_by_route[route.name] = number

    def _collect_pattern_routes(self) -> None:
        self._pattern_routes = tuple(
            itertools.chain(*self._pattern_routes_by_shard.values())
        )


class ImageLoader:
    """Validates all shards of a version, one per step.

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
        self._used_pools: set[str] = set()

    def step(self) -> bool:
        """Check the next shard; return False when all are checked."""
        count = len(self.image.blobs)
        if count != table_store.SHARDS:
            raise ValueError(f"{count} shards")
        shard = self.image.shard(self._number)
        for fault in _shard_faults(shard):
            raise ValueError(str(fault))
        self.image._index_shard(self._number, shard)
        self._used_pools.update(route.pool for route in shard.routes)
        self._number += 1
        if self._number < count:
            return True
        names = itertools.chain(*self.image._pool_names_by_shard.values())
        missing = self._used_pools - set(names)
        if missing:
            raise ValueError(f"a route names no pool: {min(missing)!r}")
        self.image._collect_pattern_routes()
        return False


class _LazyRows(Mapping[str, Any]):
    """Rows by name that are decoded when they are read."""

    def __init__(
        self,
        find: Callable[[str], Any],
        names: Mapping[str, Any],
        all_rows: Callable[[], Iterator[Any]],
    ):
        self._find = find
        self._names = names
        self._all_rows = all_rows

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
        return list(self._all_rows())

    def items(self) -> Any:
        """Return all names and rows, decoding one shard at a time."""
        return [(row.name, row) for row in self._all_rows()]


class ImageTables(rows.Tables, frozen=True):
    """Tables that read their rows from an image."""

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
    """Return why edits cannot be applied to an image, or None."""
    pool_by_name: dict[str, rows.Pool | None] = {}
    for edit in edits:
        if isinstance(edit, change.PoolEdit):
            current: Any = base.pool(edit.name)
            pool_by_name[edit.name] = edit.new
        else:
            current = base.route(edit.name)
        if current != edit.old:
            return f"row {edit.name!r} differs from the old row of the edit"
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
    # All routes are read only if a pool is removed.
    for number in range(table_store.SHARDS):
        for route in base._routes(number):
            if route.pool in removed and route.name not in new_by_route:
                return f"route {route.name!r} names a removed pool"
    return None
