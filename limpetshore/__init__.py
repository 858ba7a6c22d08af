"""Control overload in service call graphs, one node per backend server."""

__version__ = '0.1.0'
