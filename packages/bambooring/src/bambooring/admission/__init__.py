"""Admit requests within the limits of the instance and the account."""
