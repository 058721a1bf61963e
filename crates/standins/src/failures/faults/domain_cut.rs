//! A failure domain that is cut off from the platform and from the nodes of other failure domains.

use std::time::Duration;

use async_trait::async_trait;

use super::FaultScript;
use crate::{
    failures::{FailureError, FaultTestbed},
    harness::ProxyMode,
};

const DOMAIN: &str = "market";
const CUT_TIME: Duration = Duration::from_secs(5);

/// A cut in the directions that its [`ProxyMode`] blocks.
#[derive(Clone, Copy, Debug)]
pub struct DomainCut {
    name: &'static str,
    mode: ProxyMode,
}

impl DomainCut {
    /// Creates a cut under the name of its fault; `mode` says which directions stay open.
    pub fn new(name: &'static str, mode: ProxyMode) -> Self {
        Self { name, mode }
    }
}

#[async_trait]
impl FaultScript for DomainCut {
    fn name(&self) -> &'static str {
        self.name
    }

    async fn inject(&self, testbed: &mut FaultTestbed) -> Result<(), FailureError> {
        testbed.cut_domain(DOMAIN, self.mode);
        tokio::time::sleep(CUT_TIME).await;
        testbed.heal_domain(DOMAIN);
        Ok(())
    }
}
