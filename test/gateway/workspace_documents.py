"""Configurations with workspaces and API keys, for the tests."""

from standins.gateway_documents import gateway_route
from test.gateway.serving import configuration

KEY = "key-of-alpha-5f0c"
OTHER_KEY = "key-of-beta-77aa"
UNKNOWN_KEY = "key-of-nobody-31"


def entry(name: str = "alpha", *keys: str, **changes) -> dict:
    """Returns a workspace's entry; its fields' names have underscores."""
    fields = {name.replace("_", "-"): value for name, value in changes.items()}
    return {"name": name, "api-keys": list(keys or (KEY,)), **fields}


def keyed_configuration(version: int, *entries: object, **changes) -> dict:
    """Returns a configuration with workspaces, and a public route."""
    public = gateway_route("/public/", "safe", "app", public=True)
    routes = [*configuration()["routes"], public]
    fields = {"routes": routes, "tenants": list(entries), **changes}
    return configuration(version, **fields)
