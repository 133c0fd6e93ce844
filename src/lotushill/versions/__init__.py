"""Software versions of upstreams, and the version at which each stream began."""
