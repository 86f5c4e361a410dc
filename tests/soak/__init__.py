"""A randomized soak of the platform programs as separate processes on loopback."""
