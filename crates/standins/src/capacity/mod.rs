//! What each role costs at the size to design for, from slopes measured on the product's own code.
//!
//! The page is `docs/CAPACITY.md`.

mod leading;
mod probe;
mod samples;
mod serving;
mod shared;
mod slope;

pub use self::{
    leading::measure_leading,
    probe::MemoryProbe,
    serving::measure_serving,
    shared::measure_shared,
    slope::{MeasuredPoint, MeasuredSlope},
};
