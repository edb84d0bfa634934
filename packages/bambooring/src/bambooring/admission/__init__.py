"""Admit requests within the limits of instance and account."""
