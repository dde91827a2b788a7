"""Benchmark of the decision policies on a virtual clock.

The entry process's real code for queues, routing, limits, retries and crash
suspects runs against fakes of engines, the weight store, reports and the
platform.
"""
