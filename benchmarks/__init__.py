"""Benchmarks; their figures are ratios or slopes within one run.

They decide no pass or fail.
"""

from gevent import monkey

monkey.patch_all()
