//! The part of the fixed retries that this process was lent, and the loans that it gives while it leads.

use std::{
    net::SocketAddr,
    sync::Mutex,
    time::{Duration, Instant},
};

use mustardgate_core::relay::{LoanRequest, LoanSettings, RetryLender, RetryLoan};
use rand::Rng;

use crate::{
    client::LONGEST_SILENCE,
    leader::{LeaderTerm, MAX_LEADER_OVERLAP},
    peers::REPORT_INTERVAL,
    settings::BoundSettings,
};

/// Terms of the lease for which a loan is valid, so that it outlasts a change of the leader.
const LOAN_TERMS: u32 = 2;

/// Loans of the fixed retries, on the clock of the lease.
#[derive(Debug)]
pub struct RetryLoans {
    own: Mutex<RetryLoan>,
    lender: Mutex<RetryLender>,
}

impl RetryLoans {
    /// Creates the loans of a process that holds nothing and has lent nothing.
    pub fn new(bounds: &BoundSettings) -> Self {
        let settings = LoanSettings {
            term: bounds.lease_term() * LOAN_TERMS,
            counting_time: Duration::from_secs_f64(bounds.budget_window_s) + LONGEST_SILENCE,
            overlap: MAX_LEADER_OVERLAP,
            // Within it each node has reported twice.
            settling_time: REPORT_INTERVAL * 2,
            single_part: 1.0 / bounds.retry_budget_extra.max(1.0),
        };
        Self {
            own: Mutex::new(RetryLoan::new(settings, rand::rng().random())),
            lender: Mutex::new(RetryLender::new(settings)),
        }
    }

    /// Returns the part of the fixed retries that this process may use now.
    pub fn part(&self, now: Instant) -> f64 {
        self.own.lock().expect("no holder of the lock panics").part(now)
    }

    /// Returns what to tell the leader.
    pub fn request(&self, now: Instant) -> LoanRequest {
        self.own.lock().expect("no holder of the lock panics").request(now)
    }

    /// Takes over what a leader lent in answer to a request of `asked_at`, and returns the part lent before.
    pub fn renew(&self, asked_at: Instant, part: f64) -> Option<f64> {
        let mut own = self.own.lock().expect("no holder of the lock panics");
        own.renew(asked_at, part)
    }

    /// Lends a process its part in a term of this node, if `nodes` divide the fixed retries.
    pub fn lend(
        &self,
        now: Instant,
        term: LeaderTerm,
        address: SocketAddr,
        request: Option<LoanRequest>,
        nodes: u32,
    ) -> f64 {
        let mut lender = self.lender.lock().expect("no holder of the lock panics");
        lender.begin_term(now, term.token, term.is_first);
        lender.lend(now, address, request, nodes)
    }
}
