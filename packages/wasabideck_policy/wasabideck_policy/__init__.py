"""Pure decision functions of wasabideck: no I/O, no clock, no global random state.

Every function that depends on the time gets it as ``now`` (seconds), and one that draws
random numbers gets a seeded ``rng``.
"""
