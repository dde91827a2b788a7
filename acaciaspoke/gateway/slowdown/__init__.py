"""How much longer than usual work takes at each upstream.

In go the figures that upstreams report with their responses, to this host and
to others; out come factors, and the reports for other hosts. Without any figure
there are no factors.
"""

from acaciaspoke.gateway.slowdown.estimates import (
    SlowdownReport,
    Slowdowns,
    newest_reports,
    to_relative,
)

__all__ = ["SlowdownReport", "Slowdowns", "newest_reports", "to_relative"]
