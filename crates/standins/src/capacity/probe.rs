//! Measures processor time and memory of a piece of work.

use std::{fs, time::Duration};

/// Processor time that a measurement spends at least, so that the kernel's count is fine enough.
const MEASURED_TIME: Duration = Duration::from_millis(40);

/// Reads how many bytes are allocated; the running program counts them.
pub type MemoryProbe = fn() -> usize;

/// Returns the microseconds of processor time that one run of `work` takes.
pub fn processor_us(mut work: impl FnMut()) -> f64 {
    let begun = thread_time();
    let mut runs = 0_u32;
    loop {
        work();
        runs += 1;
        let spent = thread_time().saturating_sub(begun);
        if spent >= MEASURED_TIME {
            return spent.as_secs_f64() * 1e6 / f64::from(runs);
        }
    }
}

/// Returns the bytes that stay allocated by what `maker` returns.
pub fn held_bytes<T>(probe: MemoryProbe, maker: impl FnOnce() -> T) -> f64 {
    let before = probe();
    let held = maker();
    let after = probe();
    drop(held);
    after.saturating_sub(before) as f64
}

/// Reads the time that this thread ran, which a busy machine does not stretch.
fn thread_time() -> Duration {
    let counted = fs::read_to_string("/proc/thread-self/schedstat").expect("the kernel counts the time of threads");
    let nanoseconds = counted.split_whitespace().next().and_then(|field| field.parse().ok());
    Duration::from_nanos(nanoseconds.expect("the first field is a count of nanoseconds"))
}
