//! Watches of the resource API, answered as a stream with one JSON object per line.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures::stream;
use hyper::{Response, StatusCode, Uri};
use mustardgate_core::{
    config::{ConfigEvent, ConfigReplica},
    ids::Offset,
    resources::ResourceKind,
};
use mustardgate_protocol::operators::{ResourceView, WatchEvent};
use tokio::{sync::watch, time};

use super::{errors::OperatorError, resources::current_view, status::resource_status};
use crate::{
    context::NodeContext,
    http::{AnswerBody, streamed_answer},
};

/// Time without a configuration change after which a watcher gets a bookmark with the current offset.
const BOOKMARK_INTERVAL: Duration = Duration::from_secs(5);

/// Returns whether a list request asks for a watch.
pub(super) fn is_watch(uri: &Uri) -> bool {
    query_value(uri, "watch").is_some_and(|value| value == "1" || value == "true")
}

fn query_value<'a>(uri: &'a Uri, name: &str) -> Option<&'a str> {
    let pairs = uri.query()?.split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

pub(super) fn watch_resources(
    node: &Arc<NodeContext>,
    kind: ResourceKind,
    uri: &Uri,
) -> Result<Response<AnswerBody>, OperatorError> {
    current_view(node)?;
    let from = match query_value(uri, "from") {
        Some(text) => text.parse().map_err(|_error| OperatorError::BadRequest {
            reason: "from must be an offset".to_owned(),
        })?,
        None => node.directory.read(ConfigReplica::next_offset),
    };
    let too_old = node.directory.read(|replica| replica.events_from(from).is_err());
    if too_old {
        return Err(OperatorError::WatchTooOld);
    }
    let watcher = KindWatcher {
        node: Arc::clone(node),
        kind,
        next_offset: from,
        applied: node.directory.watch_applied(),
    };
    let lines = stream::unfold(watcher, |mut watcher| async move {
        let lines = watcher.next_lines().await?;
        Some((lines, watcher))
    });
    Ok(streamed_answer(StatusCode::OK, "application/json-seq", lines))
}

#[derive(Debug)]
struct KindWatcher {
    node: Arc<NodeContext>,
    kind: ResourceKind,
    next_offset: Offset,
    applied: watch::Receiver<Option<Offset>>,
}

impl KindWatcher {
    /// Returns the next lines, or `None` to end the stream: the node is stopping, or it no longer keeps the next
    /// events, so that the watcher must list the resources again.
    async fn next_lines(&mut self) -> Option<Bytes> {
        loop {
            if self.node.drain.is_draining() {
                return None;
            }
            self.applied.mark_unchanged();
            let (events, end) = self
                .node
                .directory
                .read(|replica| (replica.events_from(self.next_offset), replica.next_offset()));
            let events = events.ok()?;
            self.next_offset = self.next_offset.max(end);
            let text: String = events.iter().filter_map(|event| self.render_event(event)).collect();
            if !text.is_empty() {
                return Some(Bytes::from(text));
            }
            if time::timeout(BOOKMARK_INTERVAL, self.applied.changed()).await.is_err() {
                return Some(Bytes::from(render_line(&WatchEvent::Bookmark {
                    offset: self.next_offset,
                })));
            }
        }
    }

    fn render_event(&self, event: &ConfigEvent) -> Option<String> {
        if event.key.kind != self.kind {
            return None;
        }
        let line = match &event.resource {
            Some(resource) => WatchEvent::Changed {
                offset: event.offset,
                resource: Box::new(ResourceView {
                    resource: (**resource).clone(),
                    status: resource_status(&self.node, resource),
                }),
            },
            None => WatchEvent::Deleted {
                offset: event.offset,
                key: event.key.clone(),
            },
        };
        Some(render_line(&line))
    }
}

fn render_line(event: &WatchEvent) -> String {
    let text = serde_json::to_string(event).expect("map keys in events are strings");
    text + "\n"
}
