"""Find out what requests that crash targets have in common, and hold it."""
