//! The domain leader: what it sends, and what must be true before.

mod bench;
mod moves;
mod tenure;
