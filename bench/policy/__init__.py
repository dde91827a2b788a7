"""Benchmark of the decision policies on a virtual clock.

The real queue, routing, limits, retry and suspicion code of the entry process
runs against small fakes of engines, the weight store, reports and the platform.
"""
