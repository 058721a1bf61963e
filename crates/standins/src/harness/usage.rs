//! Processor time and memory of a process, read from `/proc`.

use std::{fs, time::Duration};

/// Clock ticks per second in `/proc/PID/stat`; fixed by the kernel's user-space interface.
const TICKS_PER_SECOND: f64 = 100.0;
/// Index of the user time among the fields of `/proc/PID/stat` after the program's name.
const USER_TIME_INDEX: usize = 11;

/// Processor time and memory that a process has used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessUsage {
    /// Processor time in user and system mode since the start of the process.
    pub processor: Duration,
    /// Resident memory in bytes.
    pub resident_bytes: u64,
}

impl ProcessUsage {
    /// Reads the usage of a process, or returns `None` when it has ended.
    pub fn read(process: u32) -> Option<Self> {
        let stat = fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
        let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
        Some(Self {
            processor: parse_processor_time(&stat)?,
            resident_bytes: parse_resident_bytes(&status)?,
        })
    }
}

fn parse_processor_time(stat: &str) -> Option<Duration> {
    let (_, fields) = stat.rsplit_once(')')?;
    let mut times = fields.split_whitespace().skip(USER_TIME_INDEX);
    let user: u64 = times.next()?.parse().ok()?;
    let system: u64 = times.next()?.parse().ok()?;
    Some(Duration::from_secs_f64((user + system) as f64 / TICKS_PER_SECOND))
}

fn parse_resident_bytes(status: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kibibytes: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kibibytes * 1024)
}
