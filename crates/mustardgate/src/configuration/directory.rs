//! The current configuration of the node.

use std::sync::{Arc, RwLock};

use mustardgate_core::{
    config::{ConfigReplica, ConfigView},
    ids::Offset,
};
use tokio::sync::watch;

use super::inbox::ConfigInbox;

/// The current configuration, shared by all tasks of the node.
#[derive(Debug)]
pub struct ConfigDirectory {
    replica: RwLock<ConfigReplica>,
    view: RwLock<Option<Arc<ConfigView>>>,
    applied: watch::Sender<Option<Offset>>,
    inbox: ConfigInbox,
}

impl ConfigDirectory {
    /// Creates a directory in which no configuration is loaded.
    pub fn new() -> Self {
        Self {
            replica: RwLock::new(ConfigReplica::new()),
            view: RwLock::new(None),
            applied: watch::Sender::new(None),
            inbox: ConfigInbox::default(),
        }
    }

    /// Returns the current configuration.
    ///
    /// # Errors
    /// The load state as text, if no configuration is loaded yet.
    pub fn view(&self) -> Result<Arc<ConfigView>, String> {
        let view = self.view.read().expect("no holder panics").clone();
        view.ok_or_else(|| format!("{:?}", self.read(ConfigReplica::load_state)))
    }

    /// Reads the replica.
    pub fn read<T>(&self, reader: impl FnOnce(&ConfigReplica) -> T) -> T {
        reader(&self.replica.read().expect("no holder panics"))
    }

    /// Changes the replica, then publishes its view and offset.
    pub fn update<T>(&self, change: impl FnOnce(&mut ConfigReplica) -> T) -> T {
        let mut replica = self.replica.write().expect("no holder panics");
        let result = change(&mut replica);
        if replica.is_loaded() {
            *self.view.write().expect("no holder panics") = Some(replica.view());
        }
        let applied = replica.applied_offset();
        self.applied.send_if_modified(|offset| {
            let is_new = *offset != applied;
            *offset = applied;
            is_new
        });
        result
    }

    /// Returns the inbox of the follower.
    pub fn inbox(&self) -> &ConfigInbox {
        &self.inbox
    }

    /// Returns a receiver that is notified whenever the applied offset changes.
    pub fn watch_applied(&self) -> watch::Receiver<Option<Offset>> {
        self.applied.subscribe()
    }
}

impl Default for ConfigDirectory {
    fn default() -> Self {
        Self::new()
    }
}
