//! Memory that a machine counts for a process, sampled while it runs.

use std::{
    fs,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use super::ProcessUsage;

/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(30);
/// State of a listening socket in `/proc/net/tcp`, whose receive queue counts connections instead of bytes.
const LISTENING_STATE: &str = "0A";
/// Bytes in a megabyte.
const MEGABYTE: u64 = 1024 * 1024;

/// Largest values of a process within a time.
///
/// Bytes that were received and not yet read belong to a process as well as its resident memory: connections that nobody
/// has accepted hold them, too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryPeak {
    /// Resident memory, in megabytes.
    pub resident_mb: u64,
    /// Bytes received and not yet read, in megabytes.
    pub unread_mb: u64,
    /// Largest sum of both in one sample, in megabytes.
    pub counted_mb: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

impl MemoryPeak {
    fn include(&mut self, process: u32, ports: &[u16]) {
        // A process that has ended has no memory.
        let resident = ProcessUsage::read(process).map_or(0, |usage| usage.resident_bytes);
        let unread = unread_bytes(&fs::read_to_string("/proc/net/tcp").unwrap_or_default(), ports);
        self.resident_mb = self.resident_mb.max(resident / MEGABYTE);
        self.unread_mb = self.unread_mb.max(unread / MEGABYTE);
        self.counted_mb = self.counted_mb.max((resident + unread) / MEGABYTE);
        let descriptors = fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count);
        self.descriptors = self.descriptors.max(descriptors);
    }
}

/// Samples the memory of a process on a thread of its own.
#[derive(Debug)]
pub struct MemoryWatch {
    is_over: Arc<AtomicBool>,
    sampling: JoinHandle<MemoryPeak>,
}

impl MemoryWatch {
    /// Begins to watch a process that listens on ports of IPv4 addresses.
    pub fn start(process: u32, ports: Vec<u16>) -> Self {
        let is_over = Arc::<AtomicBool>::default();
        let watched = Arc::clone(&is_over);
        let sampling = thread::spawn(move || {
            let mut peak = MemoryPeak::default();
            while !watched.load(Ordering::Relaxed) {
                peak.include(process, &ports);
                thread::sleep(SAMPLE_INTERVAL);
            }
            peak
        });
        Self { is_over, sampling }
    }

    /// Ends the watch and returns the largest values.
    pub fn finish(self) -> MemoryPeak {
        self.is_over.store(true, Ordering::Relaxed);
        self.sampling.join().expect("sampling does not panic")
    }
}

/// Returns the bytes that wait at the sockets of local ports, from the text of `/proc/net/tcp`.
fn unread_bytes(sockets: &str, ports: &[u16]) -> u64 {
    let waiting = sockets.lines().skip(1).filter_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let (_, port) = fields.next()?.split_once(':')?;
        let state = fields.nth(1)?;
        let (_, queue) = fields.next()?.split_once(':')?;
        let port = u16::from_str_radix(port, 16).ok()?;
        let is_counted = state != LISTENING_STATE && ports.contains(&port);
        is_counted.then_some(u64::from_str_radix(queue, 16).ok()?)
    });
    waiting.sum()
}
