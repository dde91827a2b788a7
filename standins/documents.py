"""Configuration documents of small deployments."""

from collections.abc import Mapping

RANKS = ("urgent", "normal", "batch")


def demo_document(
    upstreams: Mapping[str, dict], models: int, adapters: int
) -> dict:
    """Returns a configuration of drafting engines and a booking service.

    Args:
        upstreams: The upstreams of the services drafting and bookings.
        models: Number of models, of 20 bytes each.
        adapters: Number of adapters, of 1 byte each, spread over the models.
    """
    return {
        "ranks": {
            name: {
                "level": level,
                "floor_share": 0.05,
                "first_token_target_s": 2.0 * 4**level,
                "worth": 100.0 / 10**level,
                "attainment_target": 0.95,
            }
            for level, name in enumerate(RANKS)
        },
        "services": {
            "drafting": {"kind": "engine"},
            "bookings": {
                "kind": "plain",
                "non_idempotent": ["POST /bookings"],
            },
        },
        "models": {
            f"model-{n:02}": {"service": "drafting", "memory_bytes": 20}
            for n in range(models)
        },
        "adapters": {
            f"adapter-{n:02}": {
                "model": f"model-{n % models:02}",
                "memory_bytes": 1,
            }
            for n in range(adapters)
        },
        "upstreams": dict(upstreams),
        "weight_store": {
            "model_loads_per_s": 20.0,
            "concurrent_model_loads": 8,
            "adapters_in_transit": 32,
        },
    }
