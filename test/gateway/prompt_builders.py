"""Builders of requests that list the parts of their prompts."""

from acaciaspoke.gateway.types import (
    CallerLimits,
    Configuration,
    PromptPart,
    Request,
    Service,
)
from acaciaspoke.ids import ConfigVersion, PartId
from test.gateway.builders import SERVICE, engine_spec, request, route


def configuration(memory_tokens: int, slots: int = 12) -> Configuration:
    spec = engine_spec(slots=slots, memory_tokens=memory_tokens)
    return Configuration(
        version=ConfigVersion(1),
        routes=(),
        services={SERVICE: Service(name=SERVICE, engine=spec)},
        limits=CallerLimits(),
    )


def prompt(
    name: str, *parts: str, part_tokens: int = 200, **changes
) -> Request:
    fields = {
        "route": route(has_session_affinity=True),
        "prompt_parts": tuple(
            PromptPart(PartId(part), part_tokens) for part in parts
        ),
        "affinity": parts[-1] if parts else "",
        "prompt_tokens": part_tokens * len(parts),
    }
    return request(name, **{**fields, **changes})
