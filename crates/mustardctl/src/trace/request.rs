//! What nodes did for a request, and the state that they knew when they did it.

use std::collections::BTreeMap;

use serde::Serialize;

use super::LogLine;

/// Events that change what a node knows of the configuration, its lease or the log.
const NODE_STATE_EVENTS: [u64; 5] = [300, 301, 610, 615, 616];
/// Events that change what a node knows of a runner.
const RUNNER_STATE_EVENTS: [u64; 4] = [612, 613, 614, 617];
/// Event of a leader's placement plan, with the demand for the requested models and their replicas.
const PLAN_EVENT: u64 = 622;

/// One line of a trace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TraceStep {
    /// Time of the line.
    pub time: String,
    /// Node that wrote it.
    pub node: String,
    /// `step` for an event of the request, `belief` for state that the node knew before it.
    pub kind: &'static str,
    /// Message of the event.
    pub message: String,
    /// Fields specific to the event, as `name=value`.
    pub details: String,
}

/// The steps of a request at all nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RequestTrace {
    /// Steps ordered by time, each after the lines with the state that it is based on.
    pub steps: Vec<TraceStep>,
    /// Number of lines that could not be parsed.
    pub skipped: usize,
}

/// Builds the trace of a request from log lines: each step comes after the newest lines with what its node knew in
/// general and of the step's runner, and after a leader's last plan if it found no runner; no line comes twice.
pub fn trace_request<'a>(request: &str, texts: impl Iterator<Item = &'a str>) -> RequestTrace {
    let mut skipped = 0;
    let mut lines = Vec::new();
    for text in texts.filter(|text| !text.trim().is_empty()) {
        match LogLine::parse(text) {
            Some(line) => lines.push(line),
            None => skipped += 1,
        }
    }
    lines.sort_by(|first, second| first.time.cmp(&second.time));
    let mut state = KnownState::default();
    let mut steps = Vec::new();
    for line in &lines {
        if line.field("request").as_deref() == Some(request) {
            steps.extend(state.take_basis(line).into_iter().map(|known| step(known, "belief")));
            steps.push(step(line, "step"));
        } else {
            state.update(line);
        }
    }
    RequestTrace { steps, skipped }
}

fn step(line: &LogLine, kind: &'static str) -> TraceStep {
    TraceStep {
        time: line.time.clone(),
        node: line.node.clone(),
        kind,
        message: line.message.clone(),
        details: line.details(),
    }
}

/// The newest lines with state known to the nodes, except those already shown before a step.
#[derive(Default)]
struct KnownState<'a> {
    of_nodes: BTreeMap<(&'a str, u64), &'a LogLine>,
    of_runners: BTreeMap<(&'a str, String), &'a LogLine>,
    plan: Option<&'a LogLine>,
}

impl<'a> KnownState<'a> {
    fn update(&mut self, line: &'a LogLine) {
        if NODE_STATE_EVENTS.contains(&line.event) {
            self.of_nodes.insert((&line.node, line.event), line);
        }
        if RUNNER_STATE_EVENTS.contains(&line.event)
            && let Some(backend) = line.field("backend")
        {
            self.of_runners.insert((&line.node, backend), line);
        }
        if line.event == PLAN_EVENT {
            self.plan = Some(line);
        }
    }

    /// Removes and returns the lines with the state that a step is based on, ordered by time.
    fn take_basis(&mut self, line: &'a LogLine) -> Vec<&'a LogLine> {
        let node = line.node.as_str();
        let mut basis: Vec<&LogLine> = Vec::new();
        for event in NODE_STATE_EVENTS {
            basis.extend(self.of_nodes.remove(&(node, event)));
        }
        if let Some(backend) = line.field("backend") {
            basis.extend(self.of_runners.remove(&(node, backend)));
        }
        // A leader's last plan explains why no runner was found.
        if line.field("backend").as_deref() == Some("none") {
            basis.extend(self.plan.take());
        }
        basis.sort_by(|first, second| first.time.cmp(&second.time));
        basis
    }
}
