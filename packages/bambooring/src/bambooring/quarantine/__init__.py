"""Keep requests that crash targets from crashing more of them."""
