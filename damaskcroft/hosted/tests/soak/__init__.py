"""A randomized soak: real processes, faults from outside, promises checked.

`python -m damaskcroft.hosted.tests.soak --seeds 10` plays ten seeds; a seed
names a schedule of faults and replays it. See `_faults` for what is injected
and `_book` for what is checked.
"""
