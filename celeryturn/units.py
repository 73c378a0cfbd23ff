"""Annotated types shared by settings, configuration and messages."""

from typing import Annotated, Final, TypeAlias

import msgspec

HASH_SLOT_COUNT: Final = 16384
MAX_INTEGER: Final = 2**63 - 1
MAX_CLOCK_SECONDS: Final = 1e12
MAX_AGE_SECONDS: Final = 1e6

Name: TypeAlias = Annotated[
    str, msgspec.Meta(min_length=1, max_length=64, pattern='^[a-z0-9._-]+$')
]
Key: TypeAlias = Annotated[str, msgspec.Meta(min_length=1, max_length=256)]
Address: TypeAlias = Annotated[
    str,
    msgspec.Meta(pattern=r'^(\d{1,3}\.){3}\d{1,3}$|^[0-9a-f:]*:[0-9a-f:]+$'),
]
Port: TypeAlias = Annotated[int, msgspec.Meta(ge=1, le=65535)]
Count: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
PositiveCount: TypeAlias = Annotated[int, msgspec.Meta(ge=1, le=MAX_INTEGER)]
Integer: TypeAlias = Annotated[
    int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)
]
Digest: TypeAlias = Annotated[int, msgspec.Meta(ge=0)]
Seconds: TypeAlias = Annotated[float, msgspec.Meta(gt=0, le=3600)]
ClockSeconds: TypeAlias = Annotated[
    float, msgspec.Meta(ge=-MAX_CLOCK_SECONDS, le=MAX_CLOCK_SECONDS)
]
Fraction: TypeAlias = Annotated[float, msgspec.Meta(ge=0, le=1)]
HashSlot: TypeAlias = Annotated[int, msgspec.Meta(ge=0, lt=HASH_SLOT_COUNT)]
AgeSeconds: TypeAlias = Annotated[float, msgspec.Meta(ge=0, le=MAX_AGE_SECONDS)]
