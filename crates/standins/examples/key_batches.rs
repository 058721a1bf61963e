//! Prints the log traffic and the memory that recording keyed requests needs at the design size.

use std::fs;

use mustardgate_core::{
    clock,
    idempotency::{KeySettings, KeyTable},
    log::{BatchRecord, KeyClaim, KeyOutcome, LogRecord, StoredAnswer},
    ports::LogEntry,
    verdict::RunVerdict,
};
use smol_str::format_smolstr;

const REQUESTS_PER_SECOND: f64 = 8_600.0;
const DOMAIN_COUNT: f64 = 23.0;
const APPENDS_PER_SECOND: f64 = 10.0;
const MEASURED_KEYS: u64 = 100_000;
const PAGE_BYTES: u64 = 4_096;

fn claim(index: u64) -> KeyClaim {
    KeyClaim {
        tenant: "island-tours".into(),
        key: format_smolstr!("0b6f7c1e-55aa-4c1e-9d3f-{index:012}"),
        digest: index.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        node: "entry-th-central-a-03".into(),
        request: format_smolstr!("entry-th-central-a-03/{index}"),
    }
}

fn outcome(index: u64, answer: Option<StoredAnswer>) -> KeyOutcome {
    let claim = claim(index);
    KeyOutcome {
        tenant: claim.tenant,
        key: claim.key,
        request: claim.request,
        verdict: RunVerdict::Ran,
        is_released: false,
        answer,
    }
}

fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0_u64) * PAGE_BYTES
}

fn bytes_per_key() -> u64 {
    let settings = KeySettings {
        max_entries: MEASURED_KEYS as usize,
        ..KeySettings::default()
    };
    let mut table = KeyTable::new("n1".into(), settings);
    let now = clock::now();
    table.start(0, 0, now);
    let before = resident_bytes();
    for index in 0..MEASURED_KEYS {
        let batch = BatchRecord {
            claims: vec![claim(index)],
            outcomes: vec![outcome(index, None)],
            ..BatchRecord::default()
        };
        let entry = LogEntry {
            offset: index,
            record: LogRecord::Batch(batch),
        };
        table.replay(&[entry], now);
    }
    resident_bytes().saturating_sub(before) / table.len() as u64
}

/// Prints the costs for the share of requests that have a key.
fn print_costs(keyed_share: f64, claim_bytes: f64, outcome_bytes: f64, key_bytes: f64) {
    let keys_per_second = REQUESTS_PER_SECOND * keyed_share;
    let keys_per_append = keys_per_second / DOMAIN_COUNT / APPENDS_PER_SECOND;
    let append_bytes = keys_per_append * (claim_bytes + outcome_bytes);
    let read_bytes_per_second = keys_per_second * (claim_bytes + outcome_bytes);
    let table_mib = keys_per_second * KeySettings::default().window.as_secs_f64() * key_bytes / f64::from(1 << 20);
    println!(
        "keyed {:.0}%: {keys_per_second:.0} keys/s, {keys_per_append:.1} claims and outcomes per append, \
         {append_bytes:.0} B per append, {read_bytes_per_second:.0} B/s read by a replica of all records, \
         {table_mib:.0} MiB of key table for the window",
        keyed_share * 100.0
    );
}

fn main() {
    let claim_bytes = serde_json::to_vec(&claim(1)).map_or(0, |bytes| bytes.len()) as f64;
    let outcome_bytes = serde_json::to_vec(&outcome(1, None)).map_or(0, |bytes| bytes.len()) as f64;
    let key_bytes = bytes_per_key() as f64;
    println!("claim {claim_bytes} B, outcome without answer {outcome_bytes} B, key table {key_bytes} B per key");
    for keyed_share in [1.0, 0.1, 0.01] {
        print_costs(keyed_share, claim_bytes, outcome_bytes, key_bytes);
    }
}
