"""Measurements from which docs/CAPACITY.md extrapolates to the target size.

Each part measures the project's own code at two or more sizes, without bounds
where the design states none. Processor time is that of this process or, for
the processes that ``processes`` starts, that counted by the kernel.
"""
