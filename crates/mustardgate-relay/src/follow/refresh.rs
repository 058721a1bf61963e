//! Reads of the list of runners on demand, for decisions that must not rest on an older list.
//!
//! A follower's list may be as old as a long poll lasts, and older while the log does not answer this node. See
//! `docs/design/stream-versions.md`.

use std::{
    net::SocketAddr,
    pin::pin,
    time::{Duration, Instant},
};

use futures::{
    StreamExt,
    future::{FutureExt, select_ok},
    stream,
};
use metrics::counter;
use mustardgate_core::ports::{LogTopic, TopicError, TopicPage, TopicPosition};
use rand::seq::IndexedRandom;
use tokio::{sync::Mutex, time};

use super::{PageExtent, apply_runners};
use crate::{
    context::RelayContext,
    peers::{LogCall, LogReply},
};

/// Timeout of a read.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest time that a caller waits: for the end of a read that began before, and for the next one.
const MAX_WAIT: Duration = Duration::from_millis(500);
/// Time without an answer of the log after which other nodes are asked to read it.
const NEIGHBOUR_DELAY: Duration = Duration::from_millis(60);
/// Number of other nodes that are asked at once; the next one is asked when one of them fails.
const ASKED_AT_ONCE: usize = 2;
/// Largest number of other nodes that are asked.
const MAX_ASKED: usize = 6;
/// Largest number of pages in one read.
const MAX_PAGES: usize = 16;

/// Reads the changes of the list of runners on demand. One read serves all decisions that came up before it began.
#[derive(Debug, Default)]
pub struct ListRefresher {
    /// When the last read began, and whether it succeeded; the lock is held during a read.
    last_read: Mutex<Option<(Instant, bool)>>,
}

impl ListRefresher {
    /// Returns whether everything that was listed until `at` is known, after reading the list if needed.
    ///
    /// `at` is a time of the clock that counts suspensions.
    pub async fn refresh(&self, context: &RelayContext, at: Instant) -> bool {
        let reading = async {
            let mut last_read = self.last_read.lock().await;
            if let Some((began_at, is_read)) = *last_read
                && began_at >= at
            {
                return is_read;
            }
            let began_at = context.leader.lease_time();
            let outcome = time::timeout(REFRESH_TIMEOUT, read_changes(context)).await;
            let is_read = matches!(outcome, Ok(Ok(())));
            // A caller that leaves takes its read along, which then says nothing to the others.
            *last_read = Some((began_at, is_read));
            is_read
        };
        let is_fresh = time::timeout(MAX_WAIT, reading).await.unwrap_or(false);
        counter!("mustardgate_list_refreshes_total", "is_fresh" => is_fresh.to_string()).increment(1);
        is_fresh
    }
}

/// Reads and applies all changes since the last read.
async fn read_changes(context: &RelayContext) -> Result<(), TopicError> {
    let unavailable = TopicError::unavailable;
    let position = context.records.position(LogTopic::Runners);
    let mut from = position.ok_or_else(|| unavailable("the list was not read yet"))?;
    for _ in 0..MAX_PAGES {
        let began_at = context.leader.lease_time();
        let page = read_page(context, from).await?;
        if from.era.is_some_and(|era| era != page.era) {
            return Err(TopicError::Restored);
        }
        // A page of which no record can be read is not the end.
        let is_end = page.next == from.offset;
        if is_end || !page.records.is_empty() {
            apply_runners(context, &page, PageExtent::Changes, began_at, is_end);
        }
        if is_end {
            return Ok(());
        }
        from = page.end();
    }
    Err(unavailable("there are too many changes"))
}

/// Reads from the log, and through other nodes if it does not answer this one at once.
async fn read_page(context: &RelayContext, from: TopicPosition) -> Result<TopicPage, TopicError> {
    let direct = context.direct_log.read(LogTopic::Runners, from, Duration::ZERO);
    let through_others = async {
        time::sleep(NEIGHBOUR_DELAY).await;
        read_through_others(context, from).await
    };
    let (page, _) = select_ok([direct, through_others.boxed()]).await?;
    Ok(page)
}

/// Has other nodes read in turn, so that a slow log does not get a read from each of them.
async fn read_through_others(context: &RelayContext, from: TopicPosition) -> Result<TopicPage, TopicError> {
    let members = context.directory.members();
    let chosen = members.choose_multiple(&mut rand::rng(), MAX_ASKED);
    let calls: Vec<_> = chosen
        .map(|member| read_through(context, member.address, from))
        .collect();
    let reads = stream::iter(calls);
    let mut pages = pin!(reads.buffer_unordered(ASKED_AT_ONCE).filter_map(async |page| page.ok()));
    let page = pages.next().await;
    page.ok_or_else(|| TopicError::unavailable("no other node reads the log"))
}

async fn read_through(
    context: &RelayContext,
    neighbour: SocketAddr,
    from: TopicPosition,
) -> Result<TopicPage, TopicError> {
    let call = LogCall::Read {
        topic: LogTopic::Runners,
        from: from.offset,
        wait: Duration::ZERO,
        era: from.era,
    };
    match context.peers.call_log(neighbour, &call).await {
        Some(LogReply::Page(page)) => page,
        _ => Err(TopicError::unavailable("the neighbour does not answer")),
    }
}
