//! Measures suspicion policies on seeded traces of heartbeat delays: `suspicion [--seed N] [--count N]`.
//!
//! For each kind of trace and each policy, prints the false suspicions per hour and the median and maximum time from a
//! crash to its suspicion. Exits with 1 when a crash was never suspected.

use std::{
    process::ExitCode,
    time::{Duration, Instant},
};

use lexopt::prelude::{Long, ValueExt};
use mustardgate_core::{
    clock,
    ids::NodeId,
    membership::{AdaptiveTimeout, FixedTimeout, SuspicionPolicy},
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const HEARTBEAT_INTERVAL_S: f64 = 1.0;
const TRACE_S: f64 = 1_800.0;
const SECONDS_PER_HOUR: f64 = 3_600.0;

/// Cause of the delays of heartbeats.
#[derive(Clone, Copy, Debug)]
enum TraceKind {
    /// Jitter of a few milliseconds.
    Jitter,
    /// The connection stalls now and then, and afterwards delivers all delayed heartbeats in a burst.
    Bursts,
    /// The sender's scheduler delays heartbeats by hundreds of milliseconds, for minutes at a time.
    Load,
    /// A connection between regions whose delay is always long and variable.
    Slow,
}

const KINDS: [TraceKind; 4] = [TraceKind::Jitter, TraceKind::Bursts, TraceKind::Load, TraceKind::Slow];

/// Arrival times of heartbeats up to a crash.
#[derive(Debug)]
struct DelayTrace {
    arrivals_s: Vec<f64>,
    crash_s: f64,
}

/// Results of one policy over all traces of one kind.
#[derive(Debug, Default)]
struct PolicyScore {
    false_suspicions: u64,
    observed_s: f64,
    detections_s: Vec<f64>,
    undetected: u64,
}

fn generate_trace(kind: TraceKind, rng: &mut ChaCha8Rng) -> DelayTrace {
    let crash_s = rng.random_range(TRACE_S / 2.0..TRACE_S);
    let mut arrivals_s = Vec::new();
    let mut sent_s = 0.0;
    let mut stall_until_s = 0.0;
    let mut load_until_s = 0.0;
    let mut previous_s: f64 = 0.0;
    while sent_s < crash_s {
        if rng.random_bool(0.01) {
            stall_until_s = sent_s + rng.random_range(0.5..4.0);
        }
        if rng.random_bool(0.004) {
            load_until_s = sent_s + rng.random_range(30.0..180.0);
        }
        let jitter_s = rng.random_range(0.0005..0.005);
        let delay_s = match kind {
            TraceKind::Bursts => jitter_s + (stall_until_s - sent_s).max(0.0),
            TraceKind::Load if sent_s < load_until_s => jitter_s + exponential(0.6, rng),
            TraceKind::Jitter | TraceKind::Load => jitter_s,
            TraceKind::Slow => 0.2 + exponential(0.5, rng),
        };
        previous_s = previous_s.max(sent_s + delay_s);
        arrivals_s.push(previous_s);
        sent_s += HEARTBEAT_INTERVAL_S;
    }
    DelayTrace { arrivals_s, crash_s }
}

fn exponential(mean: f64, rng: &mut ChaCha8Rng) -> f64 {
    let unit: f64 = rng.random_range(1e-9..1.0);
    -mean * unit.ln()
}

fn score_trace(trace: &DelayTrace, policy: &mut dyn SuspicionPolicy, start: Instant, score: &mut PolicyScore) {
    let node = NodeId::new_static("n1");
    let at = |seconds: f64| start + Duration::from_secs_f64(seconds);
    for arrival_s in &trace.arrivals_s {
        let is_suspected = policy.suspected_from(&node).is_some_and(|from| from <= at(*arrival_s));
        score.false_suspicions += u64::from(is_suspected);
        policy.heartbeat(&node, at(*arrival_s));
    }
    score.observed_s += trace.crash_s;
    match policy.suspected_from(&node) {
        Some(from) => {
            let detection = from.saturating_duration_since(at(trace.crash_s));
            score.detections_s.push(detection.as_secs_f64());
        }
        None => score.undetected += 1,
    }
}

fn policies() -> Vec<(String, Box<dyn SuspicionPolicy>)> {
    let mut policies: Vec<(String, Box<dyn SuspicionPolicy>)> = Vec::new();
    for timeout_ms in [2_000, 3_000, 4_000, 5_000] {
        let policy = FixedTimeout::new(Duration::from_millis(timeout_ms));
        policies.push((format!("fixed {timeout_ms} ms"), Box::new(policy)));
    }
    for (deviations, floor_ms) in [(4.0, 1_500), (8.0, 1_500), (4.0, 2_000), (8.0, 2_000), (8.0, 3_000)] {
        let policy = AdaptiveTimeout::new(deviations, Duration::from_millis(floor_ms));
        policies.push((
            format!("adaptive {deviations:.0} deviations, floor {floor_ms} ms"),
            Box::new(policy),
        ));
    }
    policies
}

fn print_score(kind: TraceKind, name: &str, score: &mut PolicyScore) {
    score.detections_s.sort_by(f64::total_cmp);
    let median_s = score.detections_s.get(score.detections_s.len() / 2);
    let max_s = score.detections_s.last();
    println!(
        "{kind:?}, {name}: {:.2} false suspicions per hour, detection median {:.2} s, max {:.2} s",
        score.false_suspicions as f64 / score.observed_s * SECONDS_PER_HOUR,
        median_s.unwrap_or(&f64::NAN),
        max_s.unwrap_or(&f64::NAN)
    );
}

/// Scores every policy on every kind of trace; returns the number of crashes that were never suspected.
fn measure_policies(first_seed: u64, count: u64) -> u64 {
    let start = clock::now();
    let mut undetected = 0;
    for kind in KINDS {
        for index in 0..policies().len() {
            let mut score = PolicyScore::default();
            for seed in first_seed..first_seed + count {
                let trace = generate_trace(kind, &mut ChaCha8Rng::seed_from_u64(seed));
                let (_, mut policy) = policies().swap_remove(index);
                score_trace(&trace, policy.as_mut(), start, &mut score);
            }
            print_score(kind, &policies()[index].0, &mut score);
            undetected += score.undetected;
        }
    }
    undetected
}

fn parse_arguments() -> Result<(u64, u64), lexopt::Error> {
    let (mut seed, mut count) = (1, 200);
    let mut parser = lexopt::Parser::from_env();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("seed") => seed = parser.value()?.parse()?,
            Long("count") => count = parser.value()?.parse()?,
            other => return Err(other.unexpected()),
        }
    }
    Ok((seed, count))
}

fn main() -> ExitCode {
    match parse_arguments() {
        Ok((seed, count)) if measure_policies(seed, count) == 0 => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("suspicion: {error}");
            ExitCode::from(2)
        }
    }
}
