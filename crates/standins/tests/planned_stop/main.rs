//! Planned stops of a real node, with requests in each state at the signal.

mod callers;
mod signals;
mod table;
