"""Distinct types for identifiers, so that a type checker finds mix-ups."""

from typing import NewType

HostId = NewType("HostId", str)
DomainId = NewType("DomainId", str)
UpstreamId = NewType("UpstreamId", str)
SoftwareVersion = NewType("SoftwareVersion", str)
ServiceId = NewType("ServiceId", str)
ModelId = NewType("ModelId", str)
AdapterId = NewType("AdapterId", str)
RankId = NewType("RankId", str)
AccountId = NewType("AccountId", str)
WorkspaceId = NewType("WorkspaceId", str)
RequestId = NewType("RequestId", str)
PartId = NewType("PartId", str)
BootId = NewType("BootId", str)
OrderId = NewType("OrderId", str)
PatchId = NewType("PatchId", str)
ClaimId = NewType("ClaimId", str)
Fingerprint = NewType("Fingerprint", str)
ConfigVersion = NewType("ConfigVersion", int)
FencingToken = NewType("FencingToken", int)

# A mailbox address such as "tcp://10.0.0.1:7000".
Address = NewType("Address", str)

# The name of a model or an adapter at engines.
ArtifactName = NewType("ArtifactName", str)
