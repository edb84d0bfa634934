"""Define which requests may go where: routes, services and accounts."""
