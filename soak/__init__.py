"""Run the real processes under random faults and check their guarantees.

The faults are injected from outside the processes: signals, relays between
them, deleted data folders and wall clocks that jump. The checks use only what
callers, targets and operators observe.
"""
