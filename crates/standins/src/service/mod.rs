//! Stand-in for a plain service, which counts the calls that it executed.

mod server;

pub use self::server::{FAULTS_PATH, PlainAnswer, STATS_PATH, ServiceFaults, ServiceServer, ServiceStats};
