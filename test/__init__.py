"""Tests of acaciaspoke; the modules mirror those of the package."""

from loguru import logger

# Expected faults are logged with traces, which would hide the results.
logger.disable("acaciaspoke")
