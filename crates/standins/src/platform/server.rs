//! HTTP interface of the platform, with administration paths for tests.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use async_trait::async_trait;
use bytes::Bytes;
use hyper::{Method, Request, StatusCode};
use mustardgate_core::{
    ids::Offset,
    log::LogRecord,
    ports::{AppendError, PlatformLog, ReadError, VmEntry},
};
use mustardgate_protocol::platform::{APPEND_PATH, AppendAnswer, RECORDS_PATH, TrimmedAnswer, VMS_PATH};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{
    log::{LogFaults, MemoryLog},
    pacing::AppendPacer,
    retention::{RetentionPolicy, RetentionTracker},
    vms::LaggingList,
};
use crate::http::{HttpHandler, HttpReply, json_reply, query_value, read_json, status_reply};

/// Path to which a `VmEntry` is sent with `POST`; `DELETE` on `{path}/{name}` removes one.
pub const VMS_ADMIN_PATH: &str = "/admin/vms";
/// Path to which an [`AddressOverride`] is sent with `POST`.
pub const ADDRESSES_ADMIN_PATH: &str = "/admin/vm-addresses";
/// Path to which [`PlatformFaults`] are sent with `POST`.
pub const FAULTS_PATH: &str = "/admin/faults";
/// Path of the [`PlatformStats`] with `GET`.
pub const STATS_PATH: &str = "/admin/stats";
/// Largest number of records in one page if the reader sets no limit.
const DEFAULT_PAGE_RECORDS: u64 = 1_000;

/// Behaviour of the platform.
#[derive(Clone, Copy, Debug)]
pub struct PlatformOptions {
    /// Seed of the faults.
    pub seed: u64,
    /// Appends admitted per second; further ones are delayed.
    pub appends_per_second: f64,
    /// How long records are kept.
    pub retention: RetentionPolicy,
    /// Time after which the list of VMs shows a change.
    pub list_lag: Duration,
}

/// Faults of the list of VMs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ListFaults {
    /// Whether the list answers with status 503.
    pub is_down: bool,
    /// Delay of each answer in milliseconds.
    pub delay_ms: u64,
}

/// Faults in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformFaults {
    /// Faults of the log.
    pub log: LogFaults,
    /// Faults of the list.
    pub list: ListFaults,
}

/// Another address for one VM in one view of the list, so that connections from that view pass through a proxy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AddressOverride {
    /// Name of the view, such as a failure domain.
    pub view: SmolStr,
    /// Name of the VM.
    pub vm: SmolStr,
    /// Address that the view lists.
    pub address: SocketAddr,
}

/// Counts of what the platform did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformStats {
    /// Appends that took effect.
    pub appends: u64,
    /// Appends that waited for the rate limit.
    pub delayed_appends: u64,
    /// Reads of records.
    pub reads: u64,
    /// Reads of the list.
    pub lists: u64,
    /// Offset that the next record will have.
    pub end: Offset,
}

/// The platform behind its HTTP interface.
#[derive(Debug)]
pub struct PlatformServer {
    log: Arc<MemoryLog>,
    state: Mutex<PlatformState>,
}

#[derive(Debug)]
struct PlatformState {
    pacer: AppendPacer,
    tracker: RetentionTracker,
    list: LaggingList,
    list_faults: ListFaults,
    overrides: Vec<AddressOverride>,
    reads: u64,
    lists: u64,
}

impl PlatformServer {
    /// Creates a platform with an empty log and an empty list.
    pub fn new(options: PlatformOptions) -> Self {
        let state = PlatformState {
            pacer: AppendPacer::new(options.appends_per_second),
            tracker: RetentionTracker::new(options.retention),
            list: LaggingList::new(options.list_lag),
            list_faults: ListFaults::default(),
            overrides: Vec::new(),
            reads: 0,
            lists: 0,
        };
        Self {
            log: Arc::new(MemoryLog::new(options.seed)),
            state: Mutex::new(state),
        }
    }

    /// Returns the counts.
    pub fn stats(&self) -> PlatformStats {
        let state = self.lock();
        PlatformStats {
            appends: self.log.appends(),
            delayed_appends: state.pacer.delayed(),
            reads: state.reads,
            lists: state.lists,
            end: self.log.end(),
        }
    }

    async fn append(&self, request: &Request<Bytes>) -> HttpReply {
        let record: LogRecord = match read_json(request) {
            Ok(record) => record,
            Err(error) => return error.reply(),
        };
        let wait = self.lock().pacer.reserve(Instant::now());
        let log = Arc::clone(&self.log);
        // Runs in its own task, so that the append takes effect even if the client disconnects.
        let append = tokio::spawn(async move {
            tokio::time::sleep(wait).await;
            log.append(record).await
        });
        let outcome = append.await.unwrap_or(Err(AppendError::Unknown));
        self.trim();
        match outcome {
            Ok(offset) => json_reply(StatusCode::OK, &AppendAnswer { offset }),
            Err(AppendError::NotAppended) => status_reply(StatusCode::SERVICE_UNAVAILABLE),
            Err(AppendError::Unknown) => None,
        }
    }

    async fn read(&self, request: &Request<Bytes>) -> HttpReply {
        self.lock().reads += 1;
        self.trim();
        let from = query_value(request, "from").unwrap_or(0);
        let limit = query_value(request, "limit").unwrap_or(DEFAULT_PAGE_RECORDS);
        match self.log.read(from, limit as usize).await {
            Ok(page) => json_reply(StatusCode::OK, &page),
            Err(ReadError::Trimmed { earliest }) => json_reply(StatusCode::GONE, &TrimmedAnswer { earliest }),
            Err(ReadError::Unavailable) => status_reply(StatusCode::SERVICE_UNAVAILABLE),
        }
    }

    async fn list(&self, view: Option<&SmolStr>) -> HttpReply {
        let faults = self.lock().list_faults;
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        let mut state = self.lock();
        state.lists += 1;
        if faults.is_down {
            return status_reply(StatusCode::SERVICE_UNAVAILABLE);
        }
        let mut entries = state.list.entries(Instant::now());
        for replacement in state
            .overrides
            .iter()
            .filter(|replacement| Some(&replacement.view) == view)
        {
            let entry = entries.iter_mut().find(|entry| entry.name == replacement.vm);
            if let Some(entry) = entry {
                entry.address = replacement.address;
            }
        }
        json_reply(StatusCode::OK, &entries)
    }

    fn upsert_vm(&self, request: &Request<Bytes>) -> HttpReply {
        let entry: VmEntry = match read_json(request) {
            Ok(entry) => entry,
            Err(error) => return error.reply(),
        };
        self.lock().list.upsert(Instant::now(), entry);
        status_reply(StatusCode::NO_CONTENT)
    }

    fn override_address(&self, request: &Request<Bytes>) -> HttpReply {
        let replacement: AddressOverride = match read_json(request) {
            Ok(replacement) => replacement,
            Err(error) => return error.reply(),
        };
        let mut state = self.lock();
        state
            .overrides
            .retain(|old| old.view != replacement.view || old.vm != replacement.vm);
        state.overrides.push(replacement);
        status_reply(StatusCode::NO_CONTENT)
    }

    fn remove_vm(&self, name: &str) -> HttpReply {
        self.lock().list.remove(Instant::now(), name.into());
        status_reply(StatusCode::NO_CONTENT)
    }

    fn set_faults(&self, request: &Request<Bytes>) -> HttpReply {
        let faults: PlatformFaults = match read_json(request) {
            Ok(faults) => faults,
            Err(error) => return error.reply(),
        };
        self.log.set_faults(faults.log);
        self.lock().list_faults = faults.list;
        status_reply(StatusCode::NO_CONTENT)
    }

    fn trim(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        state.tracker.note_end(self.log.end(), now);
        self.log.trim(state.tracker.earliest(now));
    }

    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

/// The platform as one of its listeners presents it.
#[derive(Clone, Debug)]
pub struct PlatformView {
    /// The platform.
    pub server: Arc<PlatformServer>,
    /// Name of the view, which selects the address overrides that apply to it.
    pub view: Option<SmolStr>,
}

#[async_trait]
impl HttpHandler for PlatformView {
    async fn handle(&self, request: Request<Bytes>) -> HttpReply {
        let server = &self.server;
        let path = request.uri().path();
        match (request.method(), path) {
            (&Method::POST, APPEND_PATH) => server.append(&request).await,
            (&Method::GET, RECORDS_PATH) => server.read(&request).await,
            (&Method::GET, VMS_PATH) => server.list(self.view.as_ref()).await,
            (&Method::POST, VMS_ADMIN_PATH) => server.upsert_vm(&request),
            (&Method::POST, ADDRESSES_ADMIN_PATH) => server.override_address(&request),
            (&Method::POST, FAULTS_PATH) => server.set_faults(&request),
            (&Method::GET, STATS_PATH) => json_reply(StatusCode::OK, &server.stats()),
            (&Method::DELETE, _) => match path
                .strip_prefix(VMS_ADMIN_PATH)
                .and_then(|rest| rest.strip_prefix('/'))
            {
                Some(name) => server.remove_vm(name),
                None => status_reply(StatusCode::NOT_FOUND),
            },
            _ => status_reply(StatusCode::NOT_FOUND),
        }
    }
}
