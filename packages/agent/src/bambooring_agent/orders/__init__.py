"""Carry out control's orders to the rank behind this agent."""
