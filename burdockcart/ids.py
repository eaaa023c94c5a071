"""Identifier types that are shared by all packages."""

from typing import NewType

#: Name of a client account, as the manifest gives it and members are told it.
AccountName = NewType("AccountName", str)
CallerId = NewType("CallerId", str)
DaemonId = NewType("DaemonId", str)
DomainName = NewType("DomainName", str)
GroupId = NewType("GroupId", str)
MemberId = NewType("MemberId", str)
PoolName = NewType("PoolName", str)
RequestId = NewType("RequestId", str)
RouteName = NewType("RouteName", str)
TransactionId = NewType("TransactionId", str)

#: Random name of one start of a daemon.
Incarnation = NewType("Incarnation", str)

#: Term of a group's primary; increases with each promotion.
Term = NewType("Term", int)

#: Number of the last applied log entry of a member.
Position = NewType("Position", int)

#: Version of the two tables; increases with each accepted change.
TableVersion = NewType("TableVersion", int)

#: Database name that a client session asks for; routes map it to a group.
DatabaseName = NewType("DatabaseName", str)

#: Id that a client assigns to one statement.
StatementId = NewType("StatementId", str)

#: Number of the times that the platform's store was restored from a copy.
StoreEra = NewType("StoreEra", int)

#: Revision of the platform's store, together with its era; rises over all
#: eras.
StorePosition = NewType("StorePosition", int)

#: Position in the platform's store at which a promotion was claimed; a later
#: claim has a higher number.
FencingToken = NewType("FencingToken", int)
