//! Builders of records and replicas for the configuration tests.
#![allow(dead_code, reason = "each test file uses only some of the builders")]

use mustardgate_core::{
    config::{ConfigReplica, ConfigSpan},
    ids::Offset,
    log::{ChangeRecord, LogRecord},
    ports::LogEntry,
    resources::{AdapterSpec, ModelSpec, ResourceKey, ResourceKind, ResourceSpec, VersionSpec},
};
use smol_str::format_smolstr;

pub fn model_key(index: usize) -> ResourceKey {
    ResourceKey {
        kind: ResourceKind::Model,
        name: format_smolstr!("model-{index}"),
    }
}

pub fn model_spec(memory_mib: u64) -> ResourceSpec {
    ResourceSpec::Model(ModelSpec {
        versions: vec![VersionSpec {
            name: "v1".into(),
            memory_mib,
        }],
        serving: "v1".into(),
        min_replicas: 1,
    })
}

pub fn adapter_spec(model: &str) -> ResourceSpec {
    ResourceSpec::Adapter(AdapterSpec {
        model: model.into(),
        version: "v1".into(),
        memory_mib: 64,
    })
}

pub fn change(id: &str, index: usize, expected: Option<Offset>, memory_mib: Option<u64>) -> ChangeRecord {
    ChangeRecord {
        change: id.into(),
        resource: model_key(index),
        expected,
        spec: memory_mib.map(model_spec),
    }
}

pub fn entry(offset: Offset, record: ChangeRecord) -> LogEntry {
    LogEntry {
        offset,
        record: LogRecord::Change(record),
    }
}

pub fn span(entries: &[LogEntry]) -> ConfigSpan {
    let from = entries.first().map_or(0, |entry| entry.offset);
    ConfigSpan {
        from,
        until: entries.last().map_or(from, |entry| entry.offset + 1),
        entries: entries.to_vec(),
    }
}

pub fn loaded_replica(entries: &[LogEntry]) -> ConfigReplica {
    let mut replica = ConfigReplica::new();
    replica.begin_at_origin();
    replica.require_offset(0);
    replica.apply(&span(entries)).expect("the entries start at the origin");
    replica
}
