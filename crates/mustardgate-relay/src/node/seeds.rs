//! A start while the log is away: records of neighbours serve until the log was read.

use std::{sync::Arc, time::Duration};

use mustardgate::events;
use slog::o;
use tokio::time;

use crate::{
    context::RelayContext,
    follow::{replace_runners, take_configuration},
    peers::CachedRecord,
};

/// Time that the log has before neighbours are asked, and between two rounds.
const ASK_INTERVAL: Duration = Duration::from_millis(700);

/// Asks neighbours for their records until a configuration is known, from whomever.
pub(super) async fn take_neighbour_records(context: Arc<RelayContext>) {
    loop {
        time::sleep(ASK_INTERVAL).await;
        for seed in &context.settings.listen.seeds {
            if context.routes.current().is_some() {
                return;
            }
            if context.settings.listen.peers == Some(*seed) {
                continue;
            }
            let Some(kept) = context.peers.records(*seed).await else {
                continue;
            };
            if context.routes.current().is_some() || kept.configuration.is_empty() {
                continue;
            }
            events::CONFIG_FROM_PEER.write(
                context.log.logger(),
                o!("runners" => kept.runners.len(), "neighbour" => seed.to_string()),
            );
            let runners: Vec<_> = kept.runners.into_iter().map(CachedRecord::into_record).collect();
            if !context.fleet.has_runner() {
                replace_runners(&context, &runners);
            }
            for record in kept.configuration.into_iter().map(CachedRecord::into_record) {
                take_configuration(&context, &record);
            }
        }
    }
}
