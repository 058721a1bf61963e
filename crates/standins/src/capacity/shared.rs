//! Costs of the state that every node keeps: configuration, keys, leases and membership.

use std::time::Duration;

use mustardgate_core::{
    clock,
    config::{ConfigReplica, ConfigSpan},
    idempotency::{KeySettings, KeyTable},
    ids::FencingNumber,
    log::{BatchRecord, LeaseRecord, LogRecord, OrderAction, OrderIntent},
    membership::{DomainDigest, LeavingMark, MembershipSettings, MembershipView, NodeHeartbeat, default_suspicion},
    ports::{LogEntry, VmEntry, VmRole},
};
use serde::Serialize;
use smol_str::format_smolstr;

use super::{
    probe::{MemoryProbe, held_bytes, processor_us},
    samples,
    slope::MeasuredSlope,
};

const RESOURCES: [usize; 5] = [250, 500, 1_000, 2_000, 4_000];
const KEYS: [usize; 5] = [2_000, 4_000, 8_000, 16_000, 32_000];
const BATCHED: [usize; 5] = [1, 8, 16, 32, 64];
const NODES: [usize; 4] = [4, 8, 16, 32];
const VMS: [usize; 4] = [250, 500, 1_000, 2_000];

/// Returns the size of a value in bytes as JSON, the format of the platform's log.
pub fn json_bytes<T: Serialize>(value: &T) -> f64 {
    serde_json::to_vec(value).map_or(0, |bytes| bytes.len()) as f64
}

/// Returns the size of a value in bytes as CBOR, the format of messages between nodes.
fn frame_bytes<T: Serialize>(value: &T) -> f64 {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("messages can be encoded");
    bytes.len() as f64
}

/// Measures configuration, keys, leases and membership.
pub fn measure_shared(probe: MemoryProbe) -> Vec<MeasuredSlope> {
    let mut slopes = configuration(probe);
    slopes.extend(keys(probe));
    slopes.extend(leases());
    slopes.extend(membership(probe));
    slopes
}

fn declared(count: usize) -> ConfigSpan {
    ConfigSpan {
        from: 0,
        until: count as u64,
        entries: (0..count).map(|index| samples::change(index, index, None)).collect(),
    }
}

fn replica(span: &ConfigSpan) -> ConfigReplica {
    let mut replica = ConfigReplica::new();
    replica.begin_at_origin();
    replica.require_offset(span.until);
    replica.apply(span).expect("the span starts at the origin");
    replica
}

/// Returns the time to apply one change while a reader holds the previous view.
fn apply_us(count: usize) -> f64 {
    let mut replica = replica(&declared(count));
    let mut offset = count;
    let mut version = 0;
    processor_us(|| {
        let held = replica.view();
        let span = ConfigSpan {
            from: offset as u64,
            until: offset as u64 + 1,
            entries: vec![samples::change(offset, 0, Some(version))],
        };
        replica.apply(&span).expect("the span follows");
        version = offset as u64;
        offset += 1;
        drop(held);
    })
}

fn snapshot_bytes(count: usize) -> f64 {
    let snapshot = replica(&declared(count)).to_snapshot("entry-03".into());
    snapshot.map_or(0.0, |snapshot| json_bytes(&LogRecord::Snapshot(Box::new(snapshot))))
}

fn configuration(probe: MemoryProbe) -> Vec<MeasuredSlope> {
    let memory = |count| {
        let span = declared(count);
        held_bytes(probe, || replica(&span))
    };
    let replay = |count| {
        let span = declared(count);
        processor_us(|| drop(replica(&span)))
    };
    let log_bytes = |count| declared(count).entries.iter().map(json_bytes).sum();
    vec![
        MeasuredSlope::measure("config_memory", "B", "resource", &RESOURCES, memory),
        MeasuredSlope::measure("config_replay", "µs", "change", &RESOURCES, replay),
        MeasuredSlope::measure("config_apply", "µs", "resource", &RESOURCES, apply_us),
        MeasuredSlope::measure("config_snapshot", "B", "resource", &RESOURCES, snapshot_bytes),
        MeasuredSlope::measure("config_log", "B", "change", &RESOURCES, log_bytes),
    ]
}

fn key_table(count: usize) -> KeyTable {
    let settings = KeySettings {
        max_entries: count,
        ..KeySettings::default()
    };
    let mut table = KeyTable::new("entry-03".into(), settings);
    let now = clock::now();
    table.start(0, 0, now);
    for first in (0..count).step_by(100) {
        let entry = LogEntry {
            offset: first as u64 / 100,
            record: LogRecord::Batch(samples::key_batch(first, 100)),
        };
        drop(table.replay(&[entry], now));
    }
    table
}

fn keys(probe: MemoryProbe) -> Vec<MeasuredSlope> {
    let memory = |count| held_bytes(probe, || key_table(count));
    let replay = |count| processor_us(|| drop(key_table(count)));
    let log_bytes = |count| json_bytes(&LogRecord::Batch(samples::key_batch(0, count)));
    vec![
        MeasuredSlope::measure("key_memory", "B", "key", &KEYS, memory),
        MeasuredSlope::measure("key_replay", "µs", "key", &KEYS, replay),
        MeasuredSlope::measure("key_log", "B", "keyed call in an append", &BATCHED, log_bytes),
    ]
}

fn intent(index: usize) -> OrderIntent {
    let artifact = samples::artifact(index);
    OrderIntent {
        order: format_smolstr!("entry-region-0-domain-00-03-5e1f77aa-{index}"),
        backend: samples::backend(index),
        accelerator: 1,
        action: OrderAction::Load {
            artifact,
            memory_mib: 16_384,
        },
        fencing: FencingNumber {
            lease_offset: 1_000_000,
            succession: 1,
            address: 1 << 40,
        },
    }
}

fn leases() -> Vec<MeasuredSlope> {
    let lease = |index| LeaseRecord {
        domain: samples::domain(index),
        holder: "entry-region-0-domain-00-03".into(),
        previous: Some(1_000_000),
        term_ms: Duration::from_secs(6).as_millis() as u64,
        released: false,
        session: u64::MAX,
        renews: Some(1_000_000),
        window: 0,
    };
    let renewals = |domains| {
        let records = (0..domains).map(|index| json_bytes(&LogRecord::Lease(lease(index))));
        records.sum()
    };
    let intents = |count| {
        json_bytes(&LogRecord::Batch(BatchRecord {
            domain: samples::domain(0),
            intents: (0..count).map(intent).collect(),
            ..BatchRecord::default()
        }))
    };
    vec![
        MeasuredSlope::measure("lease_log", "B", "domain and renewal", &[3, 6, 12, 23], renewals),
        MeasuredSlope::measure("intent_log", "B", "intent in an append", &BATCHED, intents),
    ]
}

fn leaving_marks(count: usize) -> Vec<LeavingMark> {
    let mark = |index| LeavingMark {
        backend: samples::backend(index),
        address: ([10, 0, 0, 1], 8_080).into(),
        age_ms: 123_456,
    };
    (0..count).map(mark).collect()
}

fn vm_list(count: usize) -> Vec<VmEntry> {
    let role = |index: usize| match index % 5 {
        0 => VmRole::Entry,
        _ => VmRole::Backend,
    };
    (0..count).map(|index| samples::vm(index, role(index))).collect()
}

fn membership_view(entries: &[VmEntry]) -> MembershipView {
    let settings = MembershipSettings::default();
    let mut view = MembershipView::new(
        entries[0].name.clone(),
        samples::domain(0),
        settings,
        default_suspicion(),
    );
    view.list_fetched(entries, clock::now());
    view
}

fn membership(probe: MemoryProbe) -> Vec<MeasuredSlope> {
    let heartbeat = |leaving| {
        frame_bytes(&NodeHeartbeat {
            node: samples::vm(3, VmRole::Entry).name,
            sequence: 1_000_000,
            leaving: leaving_marks(leaving),
        })
    };
    let digest = |nodes: usize| {
        frame_bytes(&DomainDigest {
            domain: samples::domain(0),
            speaker: samples::vm(3, VmRole::Entry).name,
            unsuspected: (0..nodes).map(|index| samples::vm(index, VmRole::Entry).name).collect(),
            leaving: Vec::new(),
        })
    };
    let memory = |count| {
        let entries = vm_list(count);
        held_bytes(probe, || membership_view(&entries))
    };
    let fetch = |count| {
        let entries = vm_list(count);
        let mut view = membership_view(&entries);
        processor_us(|| view.list_fetched(&entries, clock::now()))
    };
    let parse = |count| {
        let text = serde_json::to_vec(&vm_list(count)).expect("entries can be encoded");
        processor_us(|| drop(serde_json::from_slice::<Vec<VmEntry>>(&text)))
    };
    vec![
        MeasuredSlope::measure("heartbeat_frame", "B", "leaving server", &[0, 2, 4, 8], heartbeat),
        MeasuredSlope::measure("digest_frame", "B", "node of the domain", &NODES, digest),
        MeasuredSlope::measure("list_body", "B", "VM", &VMS, |count| json_bytes(&vm_list(count))),
        MeasuredSlope::measure("list_parse", "µs", "VM", &VMS, parse),
        MeasuredSlope::measure("list_take", "µs", "VM", &VMS, fetch),
        MeasuredSlope::measure("member_memory", "B", "VM", &VMS, memory),
    ]
}
