//! Batches of stream origins for the platform's log, which outlives all nodes, and the nodes that write them.
//!
//! See `docs/design/stream-versions.md`.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use super::{
    stream_origins::{NodeMember, StreamKey, StreamOrigin, rank},
    versions::VersionTag,
};
use crate::ids::DomainId;

/// First byte of a batch in this format; readers skip batches in formats that they do not know.
const FORMAT: u8 = 1;
/// Largest number of versions in a batch, whose indices are one byte long.
const MAX_VERSIONS: usize = 255;
/// Bytes of a number.
const NUMBER_BYTES: usize = 8;
/// Bytes of an origin: key, digest of the request, index of the version.
const ORIGIN_BYTES: usize = 2 * NUMBER_BYTES + 1;
/// Shortest time between two batches of one recorder. Streams that began within it are lost when all nodes end.
const MIN_INTERVAL: Duration = Duration::from_millis(100);
/// Largest number of batches a second of all recorders together, a quarter of the writes that a small platform allows.
const MAX_BATCHES_PER_S: u32 = 100;

/// Encodes origins into batches of at most `max_bytes`.
pub fn encode_batches(origins: &[StreamOrigin], max_bytes: usize) -> Vec<Vec<u8>> {
    let mut batches = Vec::new();
    let mut rest = origins;
    while !rest.is_empty() {
        let (batch, count) = encode_batch(rest, max_bytes);
        batches.push(batch);
        rest = &rest[count..];
    }
    batches
}

/// Encodes as many of the origins as fit, at least one, and returns their number.
fn encode_batch(origins: &[StreamOrigin], max_bytes: usize) -> (Vec<u8>, usize) {
    let mut versions: BTreeMap<VersionTag, u8> = BTreeMap::new();
    let mut table = Vec::new();
    let mut entries = Vec::new();
    let mut count = 0;
    for origin in origins {
        let is_new = !versions.contains_key(&origin.version);
        let bytes = 2 + table.len() + entries.len() + ORIGIN_BYTES + NUMBER_BYTES * usize::from(is_new);
        let is_full = bytes > max_bytes || (is_new && versions.len() == MAX_VERSIONS);
        if is_full && count > 0 {
            break;
        }
        let next = versions.len() as u8;
        let index = *versions.entry(origin.version).or_insert(next);
        if is_new {
            table.extend(origin.version.number().to_be_bytes());
        }
        entries.extend(origin.key.number().to_be_bytes());
        entries.extend(origin.request.to_be_bytes());
        entries.push(index);
        count += 1;
    }
    let mut batch = vec![FORMAT, versions.len() as u8];
    batch.extend(table);
    batch.extend(entries);
    (batch, count)
}

/// Decodes a batch; returns `None` if its format is not known or it is damaged.
pub fn decode_batch(batch: &[u8]) -> Option<Vec<StreamOrigin>> {
    let (header, rest) = batch.split_first_chunk::<2>()?;
    let [format, version_count] = *header;
    if format != FORMAT {
        return None;
    }
    let (table, entries) = rest.split_at_checked(usize::from(version_count) * NUMBER_BYTES)?;
    if entries.len() % ORIGIN_BYTES != 0 {
        return None;
    }
    let versions: Vec<VersionTag> = table
        .chunks_exact(NUMBER_BYTES)
        .map(|bytes| VersionTag::from_number(number(bytes)))
        .collect();
    let origins = entries.chunks_exact(ORIGIN_BYTES).map(|entry| {
        Some(StreamOrigin {
            key: StreamKey::from_number(number(&entry[..NUMBER_BYTES])),
            request: number(&entry[NUMBER_BYTES..2 * NUMBER_BYTES]),
            version: *versions.get(usize::from(entry[2 * NUMBER_BYTES]))?,
        })
    });
    origins.collect()
}

fn number(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0, |number, byte| (number << 8) | u64::from(*byte))
}

/// Returns the nodes that write the origin of a stream which began at `own`: that with the lowest address in its failure
/// domain, and that of one other domain, or the next one where there is no other.
///
/// One writer a domain keeps the number of writes independent of the number of nodes, and a domain that is cut off from
/// others still has one. Nobody is told whether it wrote, so a second one is told for when the first is down or cut off.
pub fn choose_recorders<'a>(key: StreamKey, own: &'a NodeMember, others: &'a [NodeMember]) -> Vec<&'a NodeMember> {
    let mut firsts: BTreeMap<&DomainId, &NodeMember> = BTreeMap::new();
    for member in others.iter().chain([own]) {
        let first = firsts.entry(&member.domain).or_insert(member);
        if member.address < first.address {
            *first = member;
        }
    }
    let near = firsts.remove(&own.domain).unwrap_or(own);
    let far = firsts.into_values().min_by_key(|member| rank(key, member.address));
    let next = || {
        let members = others.iter().chain([own]);
        members
            .filter(|member| *member != near)
            .min_by_key(|member| member.address)
    };
    [near].into_iter().chain(far.or_else(next)).collect()
}

/// Returns the time between two batches of a recorder, so that all recorders together stay within the platform's limit.
pub fn record_interval(own: &NodeMember, others: &[NodeMember]) -> Duration {
    let domains: BTreeSet<_> = others.iter().chain([own]).map(|member| &member.domain).collect();
    let recorders = u32::try_from(domains.len()).unwrap_or(u32::MAX);
    MIN_INTERVAL.max(Duration::from_secs(1) * recorders / MAX_BATCHES_PER_S)
}
