"""Run the real processes under drawn faults and check what they promise.

The faults come from outside the processes: signals, relays between them,
lost folders, clocks that jump. What is checked is what callers, targets and
operators see.
"""
