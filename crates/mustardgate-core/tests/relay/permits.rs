//! Permits to send to runners with a rate limit.

use std::time::{Duration, Instant};

use mustardgate_core::{
    ids::RunnerProcess,
    relay::{PermitIssuer, PermitSchedule},
};

const STEP: Duration = Duration::from_millis(10);
/// Window of the rule; in it arrivals are at most 1.5 times what the limit allows, and 5 more.
const RULED_WINDOW: Duration = Duration::from_secs(4);
const NODES: u32 = 77;

fn process() -> RunnerProcess {
    ("engine-1".into(), 1)
}

fn allowed(rate_per_s: f64) -> usize {
    (1.5 * rate_per_s * RULED_WINDOW.as_secs_f64() + 5.0) as usize
}

#[test]
fn a_leader_issues_what_a_limit_allows_and_saves_up_two_permits_at_most() {
    for rate_per_s in [0.2, 1.0, 1.9, 25.0] {
        let mut issuer = PermitIssuer::default();
        let start = Instant::now();
        assert!(issuer.issue(start, 1, &process(), rate_per_s).is_err());
        // Nobody asks for a long time, then everybody at once.
        let mut now = start + Duration::from_secs(600);
        let mut permits = 0;
        while now < start + Duration::from_secs(600) + RULED_WINDOW {
            let asking = (0..NODES).filter(|_| issuer.issue(now, 1, &process(), rate_per_s).is_ok());
            permits += asking.count() as u32;
            now += STEP;
        }
        let expected = rate_per_s * RULED_WINDOW.as_secs_f64();
        assert!(f64::from(permits) >= expected, "{permits} at {rate_per_s}");
        assert!(permits as usize <= allowed(rate_per_s), "{permits} at {rate_per_s}");
    }
}

#[test]
fn the_bucket_of_a_former_term_is_not_used_in_the_next() {
    let mut issuer = PermitIssuer::default();
    let start = Instant::now();
    assert!(issuer.issue(start, 1, &process(), 1.0).is_err());
    let later = start + Duration::from_secs(60);
    let refused = issuer.issue(later, 2, &process(), 1.0);
    assert_eq!(refused, Err(Duration::from_secs(1)));
}

#[test]
fn a_limit_of_zero_leaves_one_permit_in_ten_seconds_to_notice_its_end() {
    let mut issuer = PermitIssuer::default();
    let start = Instant::now();
    let asked = (0..600_u32).map(|second| start + Duration::from_millis(100) * second);
    let granted = asked.filter(|now| issuer.issue(*now, 1, &process(), 0.0).is_ok());
    assert!((5..=6).contains(&granted.count()));
}

#[test]
fn nodes_without_a_leader_stay_within_a_limit_together_and_idle_ones_save_nothing_up() {
    for rate_per_s in [0.5, 1.0, 4.0] {
        let start = Instant::now();
        let mut nodes: Vec<PermitSchedule> = (0..NODES).map(|_| PermitSchedule::default()).collect();
        let draw = |node: usize| node as f64 / f64::from(NODES);
        let mut use_slots = |now: Instant| {
            let nodes = nodes.iter_mut().enumerate();
            nodes
                .filter_map(|(number, node)| node.use_slot(now, &process(), rate_per_s, NODES, draw(number)).ok())
                .count()
        };
        use_slots(start);
        let idle_until = start + Duration::from_secs(3_600);
        let steps = (RULED_WINDOW.as_millis() / STEP.as_millis()) as u32;
        let used: usize = (0..steps).map(|step| use_slots(idle_until + STEP * step)).sum();
        assert!((1..=allowed(rate_per_s)).contains(&used), "{used} at {rate_per_s}");
    }
}
