//! Liveness of nodes and backend servers: the platform's list merged with local suspicion.
