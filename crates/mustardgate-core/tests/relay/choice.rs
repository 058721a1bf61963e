//! The choice of a runner, and what it is made from.

use std::time::{Duration, Instant};

use mustardgate_core::relay::{
    Candidate, HealthSettings, LoadFigure, ModelName, OutcomeTracker, PromptMemory, PromptPart, RelayRequest,
    ReportedLoad, RunnerChoice, TokenUsage,
};

fn candidate() -> Candidate {
    Candidate {
        load: 4.0,
        wait: Duration::from_millis(100),
        unread_share: 1.0,
        lacks_adapter: false,
        is_remote: false,
        failure_ratio: 0.0,
        is_paused: false,
    }
}

fn choose(candidates: &[Candidate]) -> Option<usize> {
    RunnerChoice::default().choose(candidates, || 0.0)
}

#[test]
fn each_advantage_decides_between_equals() {
    let base = candidate();
    for worse in [
        Candidate { load: 5.0, ..base },
        Candidate {
            wait: Duration::from_millis(300),
            ..base
        },
        Candidate {
            lacks_adapter: true,
            ..base
        },
        Candidate {
            is_remote: true,
            ..base
        },
        Candidate {
            failure_ratio: 0.2,
            ..base
        },
        Candidate {
            is_paused: true,
            ..base
        },
    ] {
        assert_eq!(choose(&[worse, base]), Some(1), "{worse:?}");
    }
    let known_prompt = Candidate {
        unread_share: 0.2,
        ..base
    };
    assert_eq!(choose(&[base, known_prompt]), Some(1));
    assert_eq!(choose(&[]), None);
}

#[test]
fn a_grey_runner_is_avoided_until_its_failures_fade() {
    let start = Instant::now();
    let mut outcomes = OutcomeTracker::new(HealthSettings::default());
    for _ in 0..4 {
        outcomes.record(start, true);
    }
    let grey = Candidate {
        failure_ratio: outcomes.failure_ratio(start),
        ..candidate()
    };
    let busy = Candidate {
        load: 12.0,
        ..candidate()
    };
    assert_eq!(choose(&[grey, busy]), Some(1));
    let later = Candidate {
        failure_ratio: outcomes.failure_ratio(start + Duration::from_secs(20)),
        ..candidate()
    };
    assert_eq!(choose(&[later, busy]), Some(0));
    outcomes.record_unreachable(start);
    assert!(outcomes.is_paused(start));
    assert!(!outcomes.is_paused(start + Duration::from_secs(1)));
}

#[test]
fn reported_load_counts_the_requests_of_others_once() {
    let start = Instant::now();
    let mut figure = LoadFigure::default();
    figure.begin();
    figure.begin();
    figure.report(
        start,
        ReportedLoad {
            running: 6,
            waiting: 1,
            slots: 8,
        },
    );
    assert!((figure.expected(start) - 7.0).abs() < 1e-9);
    figure.end();
    assert!(figure.expected(start + Duration::from_secs(10)) < 1.1);
}

#[test]
fn a_prompt_is_known_only_behind_the_same_beginning() {
    let part = |id, tokens| PromptPart { id, tokens };
    let request = |parts: &[PromptPart], model: &str| RelayRequest {
        id: "r".into(),
        received_at: Instant::now(),
        patience: None,
        model: Some(ModelName::parse(model)),
        usage: TokenUsage::default(),
        parts: parts.to_vec(),
        last_event: None,
    };
    let mut memory = PromptMemory::default();
    memory.note(Instant::now(), &request(&[part(1, 60), part(2, 40)], "menu"));
    let unread = |parts: &[PromptPart], model: &str| memory.unread_share(&request(parts, model));
    assert!(unread(&[part(1, 60), part(2, 40)], "menu").abs() < 1e-9);
    assert!((unread(&[part(1, 60), part(3, 40)], "menu") - 0.4).abs() < 1e-9);
    assert!((unread(&[part(2, 40), part(1, 60)], "menu") - 1.0).abs() < 1e-9);
    assert!((unread(&[part(1, 60)], "menu/a1") - 1.0).abs() < 1e-9);
}
