//! Tests of retries and hedges: sent only if the verdict, the budget and the time left permit them.

use std::time::{Duration, Instant};

use mustardgate_core::{
    retry::{AttemptFailure, AttemptPlan, NextStep, PlanSettings, RetryBudget, RetryLimits},
    verdict::RunVerdict,
};
use proptest::prelude::*;

fn plan(start: Instant, is_idempotent: bool) -> AttemptPlan {
    AttemptPlan::new(PlanSettings {
        is_idempotent,
        deadline: start + Duration::from_secs(1),
        max_attempts: 3,
    })
}

fn failure(verdict: RunVerdict) -> AttemptFailure {
    AttemptFailure {
        verdict,
        backend: "a".into(),
        retry_after: Some(Duration::from_secs(2)),
        answer_time: Duration::from_millis(100),
    }
}

#[test]
fn a_withdrawn_attempt_uses_up_neither_attempts_nor_the_budget() {
    let start = Instant::now();
    let mut plan = plan(start, false);
    for backend in ["a", "b", "c", "d"] {
        assert!(plan.begin_attempt(&backend.into()), "{backend}");
        let NextStep::RetryElsewhere { excluded } = plan.withdraw_attempt() else {
            panic!("a withdrawn attempt may always be followed by another");
        };
        assert!(excluded.contains(&backend.into()));
    }
    assert_eq!(plan.verdict(), RunVerdict::NotRun);
}

#[test]
fn next_step_follows_from_verdict_and_deadline() {
    let start = Instant::now();
    let retry = NextStep::RetryElsewhere {
        excluded: vec!["a".into()],
    };
    let give_up = |verdict| NextStep::GiveUp {
        verdict,
        retry_after: Duration::from_secs(2),
    };
    let cases = [
        ("not run, non-idempotent", false, RunVerdict::NotRun, 0, retry.clone()),
        (
            "may have run, non-idempotent",
            false,
            RunVerdict::MayHaveRun,
            0,
            give_up(RunVerdict::MayHaveRun),
        ),
        ("may have run, idempotent", true, RunVerdict::MayHaveRun, 0, retry),
        (
            "deadline near",
            true,
            RunVerdict::NotRun,
            950,
            give_up(RunVerdict::NotRun),
        ),
    ];
    for (name, is_idempotent, verdict, elapsed_ms, expected) in cases {
        let mut plan = plan(start, is_idempotent);
        assert!(plan.begin_attempt(&"a".into()), "{name}");
        let now = start + Duration::from_millis(elapsed_ms);
        let step = plan.fail_attempt(now, &failure(verdict), &mut RetryBudget::new(RetryLimits::default()));
        assert_eq!(step, expected, "{name}");
    }
}

#[test]
fn verdict_covers_earlier_attempts() {
    let start = Instant::now();
    let mut budget = RetryBudget::new(RetryLimits::default());
    let mut plan = plan(start, true);
    for verdict in [RunVerdict::MayHaveRun, RunVerdict::NotRun] {
        assert!(plan.begin_attempt(&"a".into()));
        plan.fail_attempt(start, &failure(verdict), &mut budget);
    }
    assert_eq!(plan.verdict(), RunVerdict::MayHaveRun);
}

#[test]
fn hedges_are_for_idempotent_requests_only() {
    let start = Instant::now();
    let mut budget = RetryBudget::new(RetryLimits::default());
    for is_idempotent in [false, true] {
        let mut plan = plan(start, is_idempotent);
        assert!(plan.begin_attempt(&"a".into()));
        let hedge = plan.hedge(start, Duration::from_millis(100), &mut budget);
        assert_eq!(hedge.is_some(), is_idempotent);
        assert_eq!(plan.begin_attempt(&"b".into()), is_idempotent);
        if is_idempotent {
            let step = plan.fail_attempt(start, &failure(RunVerdict::NotRun), &mut budget);
            assert_eq!(step, NextStep::AwaitOther);
        }
    }
}

#[test]
fn retries_end_when_nothing_succeeds() {
    let start = Instant::now();
    let mut budget = RetryBudget::new(RetryLimits::default());
    let retried = (0..1_000)
        .filter(|_| {
            let mut plan = plan(start, true);
            assert!(plan.begin_attempt(&"a".into()));
            let step = plan.fail_attempt(start, &failure(RunVerdict::NotRun), &mut budget);
            matches!(step, NextStep::RetryElsewhere { .. })
        })
        .count();
    assert_eq!(retried, 20);
}

proptest! {
    #[test]
    fn retries_stay_within_the_ratio_of_successes(outcomes in prop::collection::vec(any::<bool>(), 1..500)) {
        let limits = RetryLimits { retries_per_success: 0.1, max_balance: 5.0 };
        let mut budget = RetryBudget::new(limits);
        let mut successes = 0_u32;
        let mut spent = 0_u32;
        for is_success in outcomes {
            if is_success {
                budget.record_success();
                successes += 1;
            } else {
                spent += u32::from(budget.try_spend());
            }
        }
        prop_assert!(
            f64::from(spent) <= limits.max_balance + f64::from(successes) * limits.retries_per_success + 1e-6
        );
    }

    #[test]
    fn a_non_idempotent_request_is_not_sent_again_after_it_may_have_run(
        verdicts in prop::collection::vec(0_u8..3, 1..6),
    ) {
        let start = Instant::now();
        let mut budget = RetryBudget::new(RetryLimits::default());
        let mut plan = plan(start, false);
        let mut may_have_run = 0;
        for verdict in verdicts {
            if !plan.begin_attempt(&"a".into()) {
                continue;
            }
            prop_assert!(!plan.begin_attempt(&"b".into()));
            let verdict = [RunVerdict::NotRun, RunVerdict::MayHaveRun, RunVerdict::Ran][usize::from(verdict)];
            may_have_run += u32::from(verdict != RunVerdict::NotRun);
            plan.fail_attempt(start, &failure(verdict), &mut budget);
        }
        prop_assert!(may_have_run <= 1);
    }
    // Guards against BUDGET breaks by attempts that are withdrawn, moved over a cut link, or dropped for the one before them.
    #[test]
    fn a_request_reaches_no_more_runners_than_its_route_allows(
        is_idempotent in any::<bool>(),
        max_attempts in 1_u32..5,
        fates in prop::collection::vec(0_u8..6, 1..40),
    ) {
        let start = Instant::now();
        let mut plan = AttemptPlan::new(PlanSettings {
            is_idempotent,
            deadline: start + Duration::from_secs(1),
            max_attempts,
        });
        let mut budget = RetryBudget::new(RetryLimits { retries_per_success: 0.0, max_balance: 1e3 });
        let mut reached = 0_u32;
        let mut has_open_answer = false;
        for (number, fate) in fates.into_iter().enumerate() {
            if has_open_answer {
                // The next attempt begins while the answer before it stays open over a link that seems to be cut.
                let step = plan.fail_attempt(start, &failure(RunVerdict::MayHaveRun), &mut budget);
                has_open_answer = matches!(step, NextStep::RetryElsewhere { .. });
                if !has_open_answer {
                    break;
                }
            }
            if !plan.begin_attempt(&format!("runner-{number}").as_str().into()) {
                break;
            }
            let step = match fate {
                // Not sent: the runner left, states a limit, or no other node can pass the request on.
                0 | 1 => plan.withdraw_attempt(),
                2 | 3 => {
                    reached += 1;
                    let verdict = if fate == 2 { RunVerdict::NotRun } else { RunVerdict::MayHaveRun };
                    plan.fail_attempt(start, &failure(verdict), &mut budget)
                }
                // Its answer begins; or it is dropped, because the answer before it went on.
                _ => {
                    reached += 1;
                    has_open_answer = true;
                    continue;
                }
            };
            prop_assert!(reached <= plan.attempts());
            if !matches!(step, NextStep::RetryElsewhere { .. }) && !has_open_answer {
                break;
            }
        }
        prop_assert!(reached <= max_attempts, "{reached} of {max_attempts}");
    }
}
