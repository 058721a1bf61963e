//! Specification of the policy: prices and limits that apply to the whole deployment.

use serde::{Deserialize, Serialize};

/// Specification of the policy; there is one resource of this kind, named `default`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PolicySpec {
    /// Cost of one load, unload or relocation, expressed as a number of requests answered in time.
    pub move_price: f64,
    /// Number of loads that the weight store completes per second.
    pub store_loads_per_second: f64,
    /// Number of concurrent loads that the weight store serves at full speed.
    pub store_concurrent_loads: u32,
    /// Number of concurrent adapter loads on all runners above which they slow down.
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
