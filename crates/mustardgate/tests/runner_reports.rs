//! Which engines' reports a node reads while frames of a leader arrive, and while none do.

mod support;

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use async_trait::async_trait;
use mustardgate::{context::NodeContext, runners::poll_reports};
use mustardgate_core::{
    clock,
    config::ConfigSpan,
    ids::{BackendId, DomainId, FencingNumber},
    log::{ChangeRecord, LogRecord},
    ports::{EngineControl, EngineOrder, EngineReport, LogEntry, OrderError},
    reports::{FrameOutcome, ReportCatalogue, ReportFrame},
    resources::{BackendSpec, ResourceKey, ResourceKind, ResourceSpec},
};
use serde_json::json;
use tokio_util::sync::CancellationToken;

/// Engine control that records which engines were asked for a report, and refuses everything else.
#[derive(Debug, Default)]
struct RecordingEngines {
    reads: Mutex<Vec<BackendId>>,
}

impl RecordingEngines {
    fn take(&self) -> Vec<BackendId> {
        std::mem::take(&mut *self.reads.lock().expect("no holder panics"))
    }
}

#[async_trait]
impl EngineControl for RecordingEngines {
    async fn raise_fencing(&self, _backend: &BackendId, _fencing: FencingNumber) -> Result<EngineReport, OrderError> {
        Err(OrderError::Refused)
    }

    async fn send_order(&self, _backend: &BackendId, _order: EngineOrder) -> Result<(), OrderError> {
        Err(OrderError::Refused)
    }

    async fn report(&self, backend: &BackendId) -> Result<EngineReport, OrderError> {
        self.reads.lock().expect("no holder panics").push(backend.clone());
        Ok(EngineReport::default())
    }
}

fn declare_engine(context: &NodeContext, name: &str, domain: &str) {
    let spec = json!({
        "domain": domain, "region": "th-central", "address": "127.0.0.1:1", "role": "engine",
        "accelerators": [{ "memory_mib": 1_000 }],
    });
    let spec: BackendSpec = serde_json::from_value(spec).expect("a specification");
    let resource = ResourceKey {
        kind: ResourceKind::Backend,
        name: name.into(),
    };
    let change = ChangeRecord {
        change: name.into(),
        resource,
        expected: None,
        spec: Some(ResourceSpec::Backend(spec)),
    };
    context.directory.update(|replica| {
        let offset = replica.next_offset();
        let record = LogRecord::Change(change);
        let span = ConfigSpan {
            from: offset,
            until: offset + 1,
            entries: vec![LogEntry { offset, record }],
        };
        replica.apply(&span).expect("no gap");
    });
}

fn frame(domain: &DomainId) -> ReportFrame {
    ReportFrame {
        domain: domain.clone(),
        leader: "entry-b".into(),
        session: 1,
        sender: "entry-b".into(),
        base: 0,
        version: 0,
        changes: Vec::new(),
        loads: Vec::new(),
    }
}

fn catalogue(domain: &DomainId) -> ReportCatalogue {
    ReportCatalogue {
        domain: domain.clone(),
        leader: "entry-b".into(),
        session: 1,
        version: 0,
        runners: Vec::new(),
    }
}

#[tokio::test(start_paused = true)]
async fn reports_are_polled_in_the_own_domain_only_while_no_leader_sends_frames() {
    let engines = Arc::new(RecordingEngines::default());
    let mut context = support::context();
    let control: Arc<dyn EngineControl> = Arc::<RecordingEngines>::clone(&engines);
    Arc::get_mut(&mut context).expect("nothing else holds it yet").engines = control;
    declare_engine(&context, "own-1", "th-a");
    declare_engine(&context, "other-1", "th-b");
    let poll_context = Arc::clone(&context);
    tokio::spawn(async move { poll_reports(&poll_context, CancellationToken::new()).await });

    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(engines.take(), ["own-1"]);

    let own = context.settings.node.domain.clone();
    assert_eq!(
        context.reports.on_frame(&frame(&own), clock::now()),
        FrameOutcome::CatalogueNeeded
    );
    context.reports.on_catalogue(catalogue(&own));
    tokio::time::sleep(Duration::from_millis(3_500)).await;
    assert_eq!(engines.take(), Vec::<BackendId>::new());

    tokio::time::sleep(Duration::from_secs(10)).await;
    let reads = engines.take();
    assert!(reads.len() > 1, "{reads:?}");
    assert!(reads.iter().all(|backend| backend == "own-1"), "{reads:?}");
}
