//! Stand-in for a plain service, which counts what really ran.

mod server;

pub use self::server::{FAULTS_PATH, PlainAnswer, STATS_PATH, ServiceFaults, ServiceServer, ServiceStats};
