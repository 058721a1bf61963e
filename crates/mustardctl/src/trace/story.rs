//! What nodes did about a request, and what they believed when they did it.

use std::collections::BTreeMap;

use serde::Serialize;

use super::LogLine;

/// Events that change what a node believes of the configuration or the log.
const NODE_BELIEFS: [u64; 5] = [300, 301, 610, 615, 616];
/// Events that change what a node believes of a runner.
const RUNNER_BELIEFS: [u64; 4] = [612, 613, 614, 617];
/// Event of a plan of the leader, which tells the demand and the replicas of the models asked for.
const PLAN_EVENT: u64 = 622;

/// One line of the story.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct StoryStep {
    /// Time of the line.
    pub time: String,
    /// Node that wrote it.
    pub node: String,
    /// `step` for what was done about the request, `belief` for what was known.
    pub kind: &'static str,
    /// Message of the event.
    pub message: String,
    /// Its fields.
    pub details: String,
}

/// The path of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RequestStory {
    /// Lines in order of time, each step after the beliefs that it rests on.
    pub steps: Vec<StoryStep>,
    /// Lines that could not be read.
    pub skipped: usize,
}

/// Picks the lines about a request out of logs, with the newest belief of the same node, of each runner named and of the
/// leader before each step.
pub fn tell_story<'a>(request: &str, texts: impl Iterator<Item = &'a str>) -> RequestStory {
    let mut skipped = 0;
    let mut lines = Vec::new();
    for text in texts.filter(|text| !text.trim().is_empty()) {
        match LogLine::parse(text) {
            Some(line) => lines.push(line),
            None => skipped += 1,
        }
    }
    lines.sort_by(|one, other| one.time.cmp(&other.time));
    let mut beliefs = BeliefBook::default();
    let mut steps = Vec::new();
    for line in &lines {
        if line.field("request").as_deref() == Some(request) {
            steps.extend(beliefs.before(line).into_iter().map(|belief| step(belief, "belief")));
            steps.push(step(line, "step"));
        } else {
            beliefs.note(line);
        }
    }
    RequestStory { steps, skipped }
}

fn step(line: &LogLine, kind: &'static str) -> StoryStep {
    StoryStep {
        time: line.time.clone(),
        node: line.node.clone(),
        kind,
        message: line.message.clone(),
        details: line.details(),
    }
}

/// The newest beliefs that were not told yet.
#[derive(Default)]
struct BeliefBook<'a> {
    of_nodes: BTreeMap<(&'a str, u64), &'a LogLine>,
    of_runners: BTreeMap<(&'a str, String), &'a LogLine>,
    plan: Option<&'a LogLine>,
}

impl<'a> BeliefBook<'a> {
    fn note(&mut self, line: &'a LogLine) {
        if NODE_BELIEFS.contains(&line.event) {
            self.of_nodes.insert((&line.node, line.event), line);
        }
        if RUNNER_BELIEFS.contains(&line.event)
            && let Some(backend) = line.field("backend")
        {
            self.of_runners.insert((&line.node, backend), line);
        }
        if line.event == PLAN_EVENT {
            self.plan = Some(line);
        }
    }

    /// Returns the beliefs that a step rests on, each only once.
    fn before(&mut self, line: &'a LogLine) -> Vec<&'a LogLine> {
        let node = line.node.as_str();
        let mut told: Vec<&LogLine> = Vec::new();
        for event in NODE_BELIEFS {
            told.extend(self.of_nodes.remove(&(node, event)));
        }
        if let Some(backend) = line.field("backend") {
            told.extend(self.of_runners.remove(&(node, backend)));
        }
        // A refusal for want of a runner is explained by the leader's last plan.
        if line.field("backend").as_deref() == Some("none") {
            told.extend(self.plan.take());
        }
        told.sort_by(|one, other| one.time.cmp(&other.time));
        told
    }
}
