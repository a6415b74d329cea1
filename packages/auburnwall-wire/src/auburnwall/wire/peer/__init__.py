__all__ = ['ttypes', 'constants', 'Peer', 'Routed']
