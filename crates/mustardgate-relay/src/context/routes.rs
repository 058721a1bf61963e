//! The configuration in force.

use std::sync::{Arc, RwLock};

use mustardgate_core::relay::{RelayConfig, RouteTable};

/// One version of the configuration with its index.
#[derive(Clone, Debug)]
pub struct ActiveRoutes {
    /// The configuration.
    pub config: RelayConfig,
    /// Index of its routes.
    pub table: RouteTable,
}

/// Holds the newest configuration that this node has read.
#[derive(Debug, Default)]
pub struct RouteBoard {
    active: RwLock<Option<Arc<ActiveRoutes>>>,
}

impl RouteBoard {
    /// Returns the configuration in force, or `None` before the first was read.
    pub fn current(&self) -> Option<Arc<ActiveRoutes>> {
        self.active.read().expect("no holder of the lock panics").clone()
    }

    /// Puts a configuration in force unless it is older than the present one; returns whether it is in force now.
    pub fn apply(&self, config: RelayConfig) -> bool {
        let mut active = self.active.write().expect("no holder of the lock panics");
        if active
            .as_ref()
            .is_some_and(|present| present.config.version >= config.version)
        {
            return false;
        }
        let table = RouteTable::new(&config.routes);
        *active = Some(Arc::new(ActiveRoutes { config, table }));
        true
    }
}
