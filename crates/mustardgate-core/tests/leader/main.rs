//! Tests of the domain leader: what it sends, and under which conditions.

mod harness;
mod moves;
mod tenure;
