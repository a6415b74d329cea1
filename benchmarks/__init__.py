"""Benchmarks; their figures are ratios or slopes within one run.

No test passes or fails by them.
"""

from gevent import monkey

monkey.patch_all()
