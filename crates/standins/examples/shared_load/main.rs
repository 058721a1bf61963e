//! Compares choices of runners with and without the shared view of their load, in a simulation without a network.
//!
//! Prints, for some numbers of nodes, the error of the expected number of requests at the chosen runner at the time of
//! sending, the load of the busiest runner to the mean, and the bytes that statements take a node and second. With an
//! exponent and a half age as arguments it tries only these for the choice by spare capacity.

mod simulation;

use std::time::{Duration, Instant};

use mustardgate_core::relay::{
    Candidate, LoadBoard, LoadSpread, LoadStatement, ReportedLoad, RunnerSelector, RunnerTag, SharedLoadEstimate,
    decode_loads, encode_loads,
};

use self::simulation::{Figures, RUN_S, RUNNERS, Simulation, WARM_S};

/// How nodes choose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Choice {
    /// By what each node sees itself.
    Own,
    /// By the shared view, always the runner with the most spare capacity.
    Least,
    /// By the shared view, at random by spare capacity and age.
    Spread,
    /// By the shared view without a leader: each node exchanges with six others.
    Leaderless,
    /// By the true load at the time of sending, which no node can know.
    True,
}

impl Choice {
    const ALL: [Self; 5] = [Self::Own, Self::Least, Self::Spread, Self::Leaderless, Self::True];
}

fn main() {
    let arguments: Vec<f64> = std::env::args().skip(1).filter_map(|text| text.parse().ok()).collect();
    let spread = match arguments[..] {
        [exponent, half_age_s] => LoadSpread::new(exponent, Duration::from_secs_f64(half_age_s)),
        _ => LoadSpread::default(),
    };
    print_times();
    println!("nodes choice      error: mean  abs   age s  busiest/mean: now   in all  waits>0.4s  B/s a node");
    if !arguments.is_empty() {
        for choice in [Choice::Spread, Choice::Leaderless, Choice::True] {
            print_figures(73, choice, &Simulation::new(73, choice, spread).run());
        }
        return;
    }
    for nodes in [73, 86, 295] {
        for choice in Choice::ALL {
            let spread = match choice {
                Choice::Least => LoadSpread::new(1e6, Duration::from_secs(1_000)),
                _ => spread,
            };
            print_figures(nodes, choice, &Simulation::new(nodes, choice, spread).run());
        }
    }
}

fn print_figures(nodes: usize, choice: Choice, figures: &Figures) {
    let mean = |values: &[f64]| values.iter().sum::<f64>() / values.len().max(1) as f64;
    let errors: Vec<f64> = figures.errors.iter().map(|error| error.abs()).collect();
    let busiest = figures.busy.iter().copied().fold(0.0, f64::max) / mean(&figures.busy);
    println!(
        "{nodes:5} {:11} {:11.2} {:5.2} {:6.2} {:17.2} {busiest:9.2} {:10.2}% {:10.0}",
        format!("{choice:?}"),
        mean(&figures.errors),
        mean(&errors),
        figures.ages_s / figures.errors.len() as f64,
        mean(&figures.peaks),
        figures.late as f64 / figures.errors.len() as f64 * 100.0,
        figures.bytes as f64 / (RUN_S - WARM_S) as f64 / nodes as f64,
    );
}

/// Prints the processor time of one choice among all runners, and of the leader's part of one report.
fn print_times() {
    const ROUNDS: u32 = 2_000;
    /// Statements in a report of one node of 73.
    const REPORTED: usize = 8;
    let now = Instant::now() + Duration::from_secs(60);
    let load = ReportedLoad {
        running: 40,
        waiting: 2,
        slots: 64,
        pace: Some(1.3),
    };
    let statement = |index: usize| LoadStatement {
        runner: RunnerTag::of(&(format!("engine-{index}").into(), 1)),
        load,
        age: Duration::ZERO,
    };
    let statements: Vec<LoadStatement> = (0..RUNNERS).map(statement).collect();
    let mut board = LoadBoard::default();
    let begun_at = Instant::now();
    for round in 0..ROUNDS {
        let now = now + Duration::from_millis(20) * round;
        let first = round as usize * REPORTED % (RUNNERS - REPORTED);
        let report = encode_loads(&statements[first..first + REPORTED]);
        for statement in decode_loads(&report) {
            board.record(now, &statement);
        }
        let (known, _) = board.since(now, 0, RUNNERS);
        let answer = encode_loads(&known);
        assert!(!answer.is_empty());
    }
    let report_us = begun_at.elapsed().as_micros() as f64 / f64::from(ROUNDS);
    let mut estimate = SharedLoadEstimate::default();
    estimate.state(now, load);
    let selector = RunnerSelector::default();
    let begun_at = Instant::now();
    for _ in 0..ROUNDS {
        let candidates: Vec<Candidate> = (0..RUNNERS)
            .map(|_| Candidate {
                shared: estimate.view(now),
                ..Candidate::default()
            })
            .collect();
        assert!(selector.select(&candidates, rand::random).is_some());
    }
    let choice_us = begun_at.elapsed().as_micros() as f64 / f64::from(ROUNDS);
    println!("{choice_us:.0} us a choice among {RUNNERS} runners, {report_us:.0} us a report at the leader");
}
