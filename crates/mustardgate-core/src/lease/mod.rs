//! The lease that makes one node the leader of a failure domain.
