"""Identifiers shared by every package."""

from typing import NewType

CellName = NewType("CellName", str)
MemberId = NewType("MemberId", str)
DataCentre = NewType("DataCentre", str)
Rack = NewType("Rack", str)
HostName = NewType("HostName", str)
"""The name of a platform host; a worker and an endpoint are named by theirs."""

ShardId = NewType("ShardId", int)
Epoch = NewType("Epoch", int)
"""The fencing number of a shard; every claim of the shard raises it by one."""

Revision = NewType("Revision", int)
"""A revision of the whole store, or of a key when it is a ``mod_revision``."""

ConfigurationNumber = NewType("ConfigurationNumber", int)
"""The number of a published configuration; it rises by one with each."""

StoreLeaseId = NewType("StoreLeaseId", int)

TeamName = NewType("TeamName", str)
QueueName = NewType("QueueName", str)
ServiceName = NewType("ServiceName", str)
KeyId = NewType("KeyId", str)

RequestId = NewType("RequestId", str)
JobId = NewType("JobId", str)
TaskId = NewType("TaskId", str)
"""``JOB/INDEX/ATTEMPT``; a task that is tried again gets a new one."""
