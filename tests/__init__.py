"""All tests. gevent patches the standard library before any other import."""

from gevent import monkey

monkey.patch_all()
