"""A randomized soak test with real processes and injected faults.

`python -m damaskcroft.hosted.tests.soak --seeds 10` plays ten seeds. A seed
determines a schedule of faults, so that it can be replayed. `_faults` injects
the faults, and `_history` checks the guarantees.
"""
