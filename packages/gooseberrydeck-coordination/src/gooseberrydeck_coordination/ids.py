"""Types of identifiers that all packages share."""

from typing import NewType

CellName = NewType("CellName", str)
MemberId = NewType("MemberId", str)
DataCentre = NewType("DataCentre", str)
Rack = NewType("Rack", str)
HostName = NewType("HostName", str)
"""The name of a platform host, which also identifies its worker or endpoint."""

ShardId = NewType("ShardId", int)
Epoch = NewType("Epoch", int)
"""The fencing token of a shard, incremented by every claim of the shard."""

Revision = NewType("Revision", int)
"""A revision of the whole store or, as ``mod_revision``, of a key."""

ConfigurationNumber = NewType("ConfigurationNumber", int)
"""The number of a published configuration, incremented by each publication."""

StoreLeaseId = NewType("StoreLeaseId", int)

TeamName = NewType("TeamName", str)
QueueName = NewType("QueueName", str)
ServiceName = NewType("ServiceName", str)
KeyId = NewType("KeyId", str)

RequestId = NewType("RequestId", str)
JobId = NewType("JobId", str)
TaskId = NewType("TaskId", str)
"""``JOB/INDEX/ATTEMPT``, so that every attempt of a task has its own id."""
