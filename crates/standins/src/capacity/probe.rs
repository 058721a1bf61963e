//! Measurement of the processor time and memory of a piece of work.

use std::{fs, time::Duration};

/// Least processor time of a measurement, so that the resolution of the kernel's count is fine enough.
const MIN_MEASURED_TIME: Duration = Duration::from_millis(40);

/// Reads the number of bytes that are allocated, which the running program's allocator counts.
pub type MemoryProbe = fn() -> usize;

/// Returns the microseconds of processor time that one run of `work` takes.
pub fn processor_us(mut work: impl FnMut()) -> f64 {
    let started_at = thread_time();
    let mut runs = 0_u32;
    loop {
        work();
        runs += 1;
        let spent = thread_time().saturating_sub(started_at);
        if spent >= MIN_MEASURED_TIME {
            return spent.as_secs_f64() * 1e6 / f64::from(runs);
        }
    }
}

/// Returns the bytes that stay allocated for the value that `make` returns.
pub fn held_bytes<T>(probe: MemoryProbe, make: impl FnOnce() -> T) -> f64 {
    let before = probe();
    let held = make();
    let after = probe();
    drop(held);
    after.saturating_sub(before) as f64
}

/// Reads the processor time of this thread, which does not include waits on a busy machine.
fn thread_time() -> Duration {
    let schedstat = fs::read_to_string("/proc/thread-self/schedstat").expect("the kernel counts the time of threads");
    let nanoseconds = schedstat.split_whitespace().next().and_then(|field| field.parse().ok());
    Duration::from_nanos(nanoseconds.expect("the first field is a count of nanoseconds"))
}
