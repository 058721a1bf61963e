//! Prices, shares and limits of the whole deployment.

use serde::{Deserialize, Serialize};

/// Specification of the policy; there is one resource of this kind, named `default`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PolicySpec {
    /// Price of one load, unload or relocation, in requests answered in time.
    pub move_price: f64,
    /// Loads the weight store completes in a second.
    pub store_loads_per_second: f64,
    /// Loads that the weight store serves at full speed at once.
    pub store_concurrent_loads: u32,
    /// Adapter loads in flight across runners before they slow down.
    pub adapter_loads_in_flight: u32,
}

impl Default for PolicySpec {
    fn default() -> Self {
        Self {
            move_price: 4.0,
            store_loads_per_second: 2.5,
            store_concurrent_loads: 13,
            adapter_loads_in_flight: 100,
        }
    }
}
