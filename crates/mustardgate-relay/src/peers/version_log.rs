//! Versions of runners in the platform's log, so that nodes that all start anew know whether a service had one only.
//!
//! See `docs/design/stream-versions.md`.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use metrics::counter;
use mustardgate_core::{
    ids::ServiceId,
    ports::{LogTopic, TopicError, TopicPosition},
    relay::{VersionDigest, VersionTag},
};
use serde::{Deserialize, Serialize};
use tokio::time;

use super::messages::{decode, encode};
use crate::context::RelayContext;

/// First byte of a record in this format, which differs from that of batches of stream origins.
const FORMAT: u8 = 2;
/// Time between two records. A node that starts reads all changes of the list since the last one.
const RECORD_INTERVAL: Duration = Duration::from_secs(3);
/// Largest number of pages of changes that are read.
const MAX_PAGES: usize = 32;

/// Versions that were seen until the list of runners had been read up to a position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct VersionRecord {
    /// Position in the topic of the runners.
    position: TopicPosition,
    /// Versions seen.
    versions: VersionDigest,
}

impl VersionRecord {
    fn to_value(&self) -> Vec<u8> {
        let mut value = vec![FORMAT];
        value.extend(encode(self));
        value
    }

    /// Decodes a record of the log; returns `None` if it holds something else.
    pub(super) fn of(value: &[u8]) -> Option<Self> {
        let (format, rest) = value.split_first()?;
        (*format == FORMAT).then(|| decode(rest))?
    }

    /// Takes the record over, with every version that was listed since it was written.
    ///
    /// # Errors
    /// [`TopicError`] when the changes since then could not be read.
    pub(super) async fn join(&self, context: &RelayContext) -> Result<(), TopicError> {
        let listed = read_versions(context, self.position).await?;
        let now = context.leader.lease_time();
        context.streams.merge_version_record(now, &self.versions, &listed);
        Ok(())
    }
}

/// Reads the versions in all entries of runners from a position on, those that were deleted again included.
async fn read_versions(
    context: &RelayContext,
    mut from: TopicPosition,
) -> Result<BTreeSet<(ServiceId, VersionTag)>, TopicError> {
    let mut listed = BTreeSet::new();
    for _ in 0..MAX_PAGES {
        let page = context.direct_log.read(LogTopic::Runners, from, Duration::ZERO).await?;
        // A page of which no record can be read is not the end.
        if page.next == from.offset {
            return Ok(listed);
        }
        for record in &page.records {
            let value = record.value.as_deref();
            let runner = value.and_then(|value| context.ports.decoder.decode_runner(&record.key, value).ok());
            listed.extend(runner.map(|runner| (runner.service.clone(), runner.version_tag())));
        }
        from = page.end();
    }
    Err(TopicError::unavailable("there are too many changes"))
}

/// Writes the versions that were seen to the log while this node leads.
#[derive(Debug)]
pub struct VersionRecordTask {
    context: Arc<RelayContext>,
}

impl VersionRecordTask {
    /// Creates the task.
    pub fn new(context: Arc<RelayContext>) -> Self {
        Self { context }
    }

    /// Runs until the process ends.
    pub async fn run(self) {
        loop {
            time::sleep(RECORD_INTERVAL).await;
            if self.context.leader.token().is_some() {
                self.write().await;
            }
        }
    }

    async fn write(&self) {
        // The record replaces earlier ones, so it must hold what they say.
        let log = &self.context.stream_log;
        let is_joined =
            log.is_joined().await || (log.refresh(&self.context).await && log.join_history(&self.context).await);
        if !is_joined {
            return;
        }
        let now = self.context.leader.lease_time();
        let Some(position) = self.context.records.position(LogTopic::Runners) else {
            return;
        };
        let versions = self.context.streams.version_digest(now);
        if versions.covers.is_none() {
            return;
        }
        let value = VersionRecord { position, versions }.to_value();
        let outcome = self
            .context
            .ports
            .topics
            .append(LogTopic::StreamOrigins, vec![value])
            .await;
        let result = if outcome.is_ok() { "written" } else { "failed" };
        counter!("mustardgate_version_records_total", "outcome" => result).increment(1);
    }
}
