//! The node: adapters and tasks around the decisions of `mustardgate_core`.
