//! When a new connection to a runner certainly leads to the listed process, for each order in which a restart is noticed.

use std::time::{Duration, Instant};

use mustardgate_core::relay::ProcessEvidence;

fn evidence(now: Instant) -> ProcessEvidence {
    ProcessEvidence {
        has_open_connection: true,
        has_lost: false,
        is_list_away: false,
        confirmed_at: Some(now),
    }
}

// Guards against a restart of which nothing told the node: no connection was open that could break.
#[test]
fn a_process_is_asked_on_the_first_connection_even_while_the_list_can_be_read() {
    let now = Instant::now();
    let first = ProcessEvidence::default();
    assert!(!first.is_sufficient(now));
    let idle_since = ProcessEvidence {
        has_open_connection: false,
        ..evidence(now)
    };
    assert!(
        !idle_since.is_sufficient(now),
        "a confirmation does not outlive the connections"
    );
}

#[test]
fn an_open_connection_to_the_confirmed_process_vouches_for_further_ones() {
    let now = Instant::now();
    let later = now + Duration::from_secs(60);
    assert!(evidence(now).is_sufficient(later));
}

// Guards against a reset that reaches only one of several connections: the others may end with it a moment later.
#[test]
fn a_broken_connection_leaves_the_process_in_doubt_until_it_is_confirmed() {
    let now = Instant::now();
    let broken = ProcessEvidence {
        has_lost: true,
        ..evidence(now)
    };
    assert!(!broken.is_sufficient(now));
}

// Guards against connections whose end was lost with the link that also cut the list off.
#[test]
fn while_the_list_is_away_an_open_connection_vouches_for_a_second_only() {
    let now = Instant::now();
    let away = ProcessEvidence {
        is_list_away: true,
        ..evidence(now)
    };
    assert!(away.is_sufficient(now + Duration::from_millis(900)));
    assert!(!away.is_sufficient(now + Duration::from_millis(1_100)));
    let unconfirmed = ProcessEvidence {
        confirmed_at: None,
        ..away
    };
    assert!(!unconfirmed.is_sufficient(now));
}
