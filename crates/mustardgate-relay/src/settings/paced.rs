//! Settings of decisions for paced services, whose runners state how long work takes on their machines.

use serde::Deserialize;

/// Settings of decisions for paced services.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct PacedSettings {
    /// Whether requests are admitted by a forecast of their whole life at a runner, and wait in the order of a queue.
    pub forecast_admission: bool,
    /// Whether requests stay in their failure domain until its runners are too few.
    pub domain_spillover: bool,
}
