"""The whole fleet seen at its operators' addresses: who acts on which version, who lags and why.  Asks, never tells."""
