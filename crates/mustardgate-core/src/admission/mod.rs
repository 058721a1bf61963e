//! Admission and queueing of requests at one node.
