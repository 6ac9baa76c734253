"""Pure decisions of wasabideck: no I/O, no clock, no global random numbers.

Every function that decides takes the present time as ``now`` (seconds) and, where
it draws, a seeded ``rng``.
"""
