//! Tests of admission: feasible deadlines, order of service, bounds, expiry and shedding.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use mustardgate_core::{
    admission::{AdmissionLimits, AdmissionQueue, PoolLoad, QueuedRequest, RefusalReason},
    resources::PriorityClass,
    verdict::RunVerdict,
};
use proptest::prelude::*;
use smol_str::{SmolStr, format_smolstr};

const POOL: SmolStr = SmolStr::new_static("menu");

fn request(number: u64, tenant: u64, class: PriorityClass, deadline: Instant) -> QueuedRequest {
    QueuedRequest {
        request: format_smolstr!("r{number}"),
        pool: POOL,
        tenant: format_smolstr!("t{tenant}"),
        weight: 1,
        class,
        deadline,
        bytes: 100,
        cost: 1,
    }
}

fn load(outstanding: u32) -> PoolLoad {
    PoolLoad {
        slots: 10,
        outstanding,
        hold_time: Duration::from_millis(500),
        answer_time: Duration::from_millis(100),
    }
}

fn queue(max_requests: usize, max_bytes: usize) -> AdmissionQueue {
    AdmissionQueue::new(
        AdmissionLimits {
            max_requests,
            max_bytes,
        },
        7,
    )
}

fn after(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

fn admit(queue: &mut AdmissionQueue, start: Instant, offered: QueuedRequest, outstanding: u32) {
    let outcome = queue.offer(start, offered, &load(outstanding)).expect("within bounds");
    assert_eq!(outcome.refusal, None);
}

#[test]
fn infeasible_deadline_is_refused_at_once_with_a_retry_delay() {
    let start = Instant::now();
    let mut queue = queue(10, 10_000);
    // The 40 requests in excess of the slots take 2 s, longer than the deadline of 1.5 s allows.
    let offered = request(1, 1, PriorityClass::Standard, after(start, 1_500));
    let outcome = queue.offer(start, offered, &load(49)).expect("within bounds");
    let refusal = outcome.refusal.expect("refused");
    assert_eq!(refusal.reason, RefusalReason::DeadlineInfeasible);
    assert_eq!(refusal.verdict, RunVerdict::NotRun);
    assert!(refusal.retry_after >= Duration::from_secs(2));
    assert!(queue.is_empty());
}

#[test]
fn request_for_a_pool_without_slots_is_refused() {
    let start = Instant::now();
    let mut queue = queue(10, 10_000);
    let offered = request(1, 1, PriorityClass::Standard, after(start, 1_500));
    let outcome = queue
        .offer(start, offered, &PoolLoad::default())
        .expect("within bounds");
    assert_eq!(
        outcome.refusal.map(|refusal| refusal.reason),
        Some(RefusalReason::NoCapacity)
    );
}

#[test]
fn a_small_tenant_is_admitted_behind_a_large_backlog_and_served_in_its_turn() {
    let start = Instant::now();
    let mut queue = queue(10_000, 10_000_000);
    for number in 0..1_000 {
        let offered = request(number, 1, PriorityClass::Standard, after(start, 600_000));
        admit(&mut queue, start, offered, 10);
    }
    let offered = request(1_000, 2, PriorityClass::Standard, after(start, 1_000));
    admit(&mut queue, start, offered, 10);
    let served: Vec<SmolStr> = (0..3)
        .filter_map(|_| queue.take(&POOL))
        .map(|taken| taken.tenant)
        .collect();
    assert!(served.contains(&"t2".into()), "{served:?}");
}

#[test]
fn a_tenant_that_used_little_comes_next_and_one_that_used_much_waits_its_turn() {
    let start = Instant::now();
    let mut queue = queue(1_000, 1_000_000);
    let deadline = after(start, 600_000);
    for number in 0..90 {
        admit(
            &mut queue,
            start,
            request(number, number % 3, PriorityClass::Standard, deadline),
            0,
        );
    }
    for _ in 0..30 {
        queue.take(&POOL).expect("backlogged");
    }
    admit(&mut queue, start, request(100, 7, PriorityClass::Standard, deadline), 0);
    let next = queue.take(&POOL).expect("backlogged");
    assert_eq!(next.tenant, "t7");
    // A tenant that keeps sending requests does not stay at the front.
    let mut taken = 1;
    for number in 200..230 {
        admit(
            &mut queue,
            start,
            request(number, 7, PriorityClass::Standard, deadline),
            0,
        );
        taken += u32::from(queue.take(&POOL).expect("backlogged").tenant == "t7");
    }
    assert!((8..=17).contains(&taken), "{taken} of 31");
}

#[test]
fn urgent_class_and_earliest_deadline_come_first() {
    let start = Instant::now();
    let mut queue = queue(10, 10_000);
    for (number, class, deadline) in [
        (1, PriorityClass::Batch, 60_000),
        (2, PriorityClass::Interactive, 60_000),
        (3, PriorityClass::Interactive, 50_000),
    ] {
        let offered = request(number, 1, class, after(start, deadline));
        admit(&mut queue, start, offered, 0);
    }
    let order: Vec<SmolStr> = (0..3)
        .filter_map(|_| queue.take(&POOL))
        .map(|taken| taken.request)
        .collect();
    assert_eq!(order, ["r3", "r2", "r1"]);
    assert_eq!((queue.len(), queue.bytes(), queue.next_expiry()), (0, 0, None));
}

#[test]
fn waiting_pools_come_in_order_of_urgency() {
    let start = Instant::now();
    let mut queue = queue(10, 10_000);
    for (number, pool, class, deadline) in [
        (1, "a", PriorityClass::Batch, 5_000),
        (2, "b", PriorityClass::Standard, 9_000),
        (3, "c", PriorityClass::Standard, 8_000),
    ] {
        let mut offered = request(number, 1, class, after(start, deadline));
        offered.pool = pool.into();
        admit(&mut queue, start, offered, 0);
    }
    assert_eq!(queue.waiting_pools(), ["c", "b", "a"]);
}

#[test]
fn request_expires_when_too_little_time_is_left_to_answer_it() {
    let start = Instant::now();
    let mut queue = queue(10, 10_000);
    let offered = request(1, 1, PriorityClass::Standard, after(start, 1_000));
    admit(&mut queue, start, offered, 0);
    let expiry = queue.next_expiry().expect("one waits");
    assert_eq!(expiry, after(start, 900));
    assert!(queue.expire(expiry).is_empty());
    let refused = queue.expire(expiry + Duration::from_millis(1));
    assert_eq!(refused.len(), 1);
    assert_eq!(refused[0].refusal.reason, RefusalReason::Expired);
    assert!(queue.is_empty());
}

#[test]
fn full_queue_sheds_the_lowest_class_first_and_never_a_higher_one() {
    let start = Instant::now();
    let mut queue = queue(2, 10_000);
    let deadline = after(start, 600_000);
    for (number, class) in [(1, PriorityClass::Batch), (2, PriorityClass::Interactive)] {
        let offered = request(number, number, class, deadline);
        admit(&mut queue, start, offered, 0);
    }
    let offered = request(3, 3, PriorityClass::Standard, deadline);
    let outcome = queue.offer(start, offered, &load(0)).expect("within bounds");
    assert!(outcome.refusal.is_none());
    assert_eq!(outcome.shed[0].request.request, "r1");
    let offered = request(4, 4, PriorityClass::Batch, deadline);
    let outcome = queue.offer(start, offered, &load(0)).expect("within bounds");
    assert_eq!(
        outcome.refusal.map(|refusal| refusal.reason),
        Some(RefusalReason::QueueFull)
    );
}

#[test]
fn requests_that_a_loss_of_slots_made_infeasible_are_shed() {
    let start = Instant::now();
    let mut queue = queue(100, 100_000);
    for number in 0..20 {
        let class = if number < 10 {
            PriorityClass::Interactive
        } else {
            PriorityClass::Batch
        };
        let offered = request(number, 1, class, after(start, 2_000));
        admit(&mut queue, start, offered, 10);
    }
    let reduced = PoolLoad {
        slots: 3,
        outstanding: 3,
        ..load(0)
    };
    let refused = queue.shed_infeasible(start, &POOL, &reduced);
    assert!(
        refused
            .iter()
            .all(|refused| refused.request.class == PriorityClass::Batch)
    );
    // At six requests per second, eleven can start within the 1.9 s before the deadline less the answer time.
    assert_eq!(queue.len(), 11);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(32))]

    #[test]
    fn bounds_hold_and_every_request_leaves_exactly_once(
        offers in prop::collection::vec((0_u64..5, 0_usize..3, 1_u64..5_000, 1_usize..400), 1..200),
    ) {
        let start = Instant::now();
        let mut queue = queue(20, 3_000);
        let mut departures: BTreeMap<SmolStr, u32> = BTreeMap::new();
        for (number, (tenant, class, deadline, bytes)) in offers.iter().enumerate() {
            let mut offered = request(number as u64, *tenant, PriorityClass::ALL[*class], after(start, *deadline));
            offered.bytes = *bytes;
            let id = offered.request.clone();
            let outcome = queue.offer(start, offered, &load(5)).expect("within bounds");
            if outcome.refusal.is_some() {
                *departures.entry(id).or_default() += 1;
            }
            for refused in outcome.shed {
                *departures.entry(refused.request.request).or_default() += 1;
            }
            prop_assert!(queue.len() <= 20 && queue.bytes() <= 3_000);
            if number % 3 == 0 && let Some(taken) = queue.take(&POOL) {
                *departures.entry(taken.request).or_default() += 1;
            }
        }
        for refused in queue.shed_infeasible(start, &POOL, &load(30)) {
            *departures.entry(refused.request.request).or_default() += 1;
        }
        for refused in queue.expire(after(start, 10_000)) {
            *departures.entry(refused.request.request).or_default() += 1;
        }
        prop_assert_eq!((queue.len(), queue.bytes()), (0, 0));
        prop_assert_eq!(departures.len(), offers.len());
        prop_assert!(departures.values().all(|count| *count == 1));
    }

    #[test]
    fn backlogged_tenants_are_served_by_weight(weights in prop::collection::vec(1_u32..6, 2..6), cost in 1_u32..4) {
        let start = Instant::now();
        let mut queue = queue(100_000, 100_000_000);
        for (tenant, weight) in weights.iter().enumerate() {
            for number in 0..300 {
                let mut offered = request(number, tenant as u64, PriorityClass::Standard, after(start, 9_000_000));
                offered.weight = *weight;
                offered.cost = cost;
                admit(&mut queue, start, offered, 0);
            }
        }
        let mut served: BTreeMap<SmolStr, u32> = BTreeMap::new();
        for _ in 0..200 {
            let taken = queue.take(&POOL).expect("backlogged");
            *served.entry(taken.tenant).or_default() += 1;
        }
        let total: u32 = weights.iter().sum();
        for (tenant, weight) in weights.iter().enumerate() {
            let fair = 200.0 * f64::from(*weight) / f64::from(total);
            let got = f64::from(served.get(&format_smolstr!("t{tenant}")).copied().unwrap_or_default());
            prop_assert!((got - fair).abs() <= f64::from(*weight) + 1.0, "{got} of {fair}");
        }
    }
}
