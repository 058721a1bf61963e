//! Start while the log is unavailable: the node uses records of its neighbours until it has read the log.

use std::{sync::Arc, time::Duration};

use mustardgate::events;
use mustardgate_core::{clock, ports::PageSource};
use slog::o;
use tokio::time;

use crate::{
    context::RelayContext,
    follow::{ConfigRead, apply_configuration, replace_runners},
    peers::CachedRecord,
};

/// Time for which the log is tried before neighbours are asked, and time between two rounds of requests to them.
const REQUEST_INTERVAL: Duration = Duration::from_millis(700);

/// Requests records from the seed nodes until a configuration is known from a neighbour or from the log.
pub(super) async fn load_neighbour_records(context: Arc<RelayContext>) {
    loop {
        time::sleep(REQUEST_INTERVAL).await;
        for seed in &context.settings.listen.seeds {
            if context.routes.current().is_some() {
                return;
            }
            if context.settings.listen.peers == Some(*seed) {
                continue;
            }
            let asked_at = clock::now();
            let Some(cached) = context.peers.records(*seed).await else {
                continue;
            };
            if context.routes.current().is_some() || cached.configuration.is_empty() {
                continue;
            }
            events::CONFIG_FROM_PEER.write(
                context.log.logger(),
                o!("runners" => cached.runners.len(), "neighbour" => seed.to_string()),
            );
            let runners: Vec<_> = cached.runners.into_iter().map(CachedRecord::into_record).collect();
            if !context.fleet.has_runner() {
                replace_runners(&context, &runners);
            }
            let read = ConfigRead {
                source: PageSource::Neighbour,
                elapsed: clock::now().saturating_duration_since(asked_at),
                age: Duration::ZERO,
                may_skip: true,
            };
            for record in cached.configuration.into_iter().map(CachedRecord::into_record) {
                apply_configuration(&context, &record, read);
            }
        }
    }
}
