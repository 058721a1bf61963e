//! The newest record of each key, as read from the log.

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard},
};

use mustardgate_core::ports::{LogTopic, TopicRecord};
use smol_str::SmolStr;

/// Keeps the newest records of the keyed topics, for neighbours that start while the log is away.
#[derive(Debug, Default)]
pub struct RecordShelf {
    configuration: Mutex<BTreeMap<SmolStr, TopicRecord>>,
    runners: Mutex<BTreeMap<SmolStr, TopicRecord>>,
}

impl RecordShelf {
    /// Takes records; `is_whole` says that they are every record there is.
    pub fn take(&self, topic: LogTopic, records: &[TopicRecord], is_whole: bool) {
        let Some(mut kept) = self.shelf(topic) else { return };
        if is_whole {
            kept.clear();
        }
        for record in records {
            if record.value.is_some() {
                kept.insert(record.key.clone(), record.clone());
            } else {
                kept.remove(&record.key);
            }
        }
    }

    /// Returns the newest record of every key.
    pub fn records(&self, topic: LogTopic) -> Vec<TopicRecord> {
        self.shelf(topic)
            .map(|kept| kept.values().cloned().collect())
            .unwrap_or_default()
    }

    fn shelf(&self, topic: LogTopic) -> Option<MutexGuard<'_, BTreeMap<SmolStr, TopicRecord>>> {
        let records = match topic {
            LogTopic::Configuration => &self.configuration,
            LogTopic::Runners => &self.runners,
            LogTopic::Leases => return None,
        };
        Some(records.lock().expect("no holder of the lock panics"))
    }
}
