//! The task that fetches the VM list.

use mustardgate_core::{clock, resources::ResourceKind};
use slog::o;
use tokio::time::{self, MissedTickBehavior};
use tokio_util::sync::CancellationToken;

use crate::{context::NodeContext, events};

/// Fetches the VM list at an interval until `shutdown`; while the platform is unavailable the last list still applies.
pub async fn poll_list(context: &NodeContext, shutdown: CancellationToken) {
    let mut ticks = time::interval(context.settings.platform.list_interval());
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut was_unavailable = false;
    loop {
        tokio::select! {
            () = shutdown.cancelled() => return,
            _ = ticks.tick() => {}
        }
        match context.vm_list.fetch().await {
            Ok(entries) => {
                was_unavailable = false;
                if context.vms.list_fetched(&entries, clock::now()) {
                    apply_availability(context);
                }
            }
            Err(error) if !was_unavailable => {
                was_unavailable = true;
                events::LIST_UNAVAILABLE.write(&context.logger, o!("error" => error.to_string()));
            }
            Err(_) => {}
        }
    }
}

/// Updates in routing which declared backend servers may get new work.
pub fn apply_availability(context: &NodeContext) {
    let Ok(view) = context.directory.view() else { return };
    for backend in view.list(ResourceKind::Backend) {
        let name = &backend.key.name;
        context.selector.set_availability(name, context.vms.availability(name));
    }
}
