"""Run entry instances and control replicas without agents.

In this setup an entry instance sends HTTP requests to the targets itself,
and the targets announce themselves to the control replicas over HTTP. The
dialect of a platform adapter translates the requests of callers, targets and
operators.
"""
