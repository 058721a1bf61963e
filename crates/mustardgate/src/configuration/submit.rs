//! Takes one change from an operator to its outcome.

use std::time::Instant;

use mustardgate_core::{
    clock,
    config::{ChangeOutcome, ChangeSubmission, SubmissionAction},
    ids::Offset,
    log::LogRecord,
    ports::ReadError,
};
use tokio::time;

use crate::context::NodeContext;

/// Drives a submission until its outcome is known or its deadline passes.
pub async fn submit_change(context: &NodeContext, mut submission: ChangeSubmission) -> ChangeOutcome {
    let mut applied = context.directory.watch_applied();
    loop {
        applied.mark_unchanged();
        match context.directory.read(|replica| submission.poll(replica, clock::now())) {
            SubmissionAction::Append(record) => {
                let answer = context.log.append(LogRecord::Change(record)).await;
                submission.on_append(answer, clock::now());
            }
            SubmissionAction::FindEnd => submission.on_end(find_end(context).await, clock::now()),
            SubmissionAction::Wait(until) => wait_for_progress(&mut applied, until).await,
            SubmissionAction::Finish(outcome) => return outcome,
        }
    }
}

async fn find_end(context: &NodeContext) -> Result<Offset, ReadError> {
    match context.log.read(0, 1).await {
        Ok(page) => Ok(page.end),
        Err(ReadError::Trimmed { earliest }) => context.log.read(earliest, 1).await.map(|page| page.end),
        Err(error) => Err(error),
    }
}

async fn wait_for_progress(applied: &mut tokio::sync::watch::Receiver<Option<Offset>>, until: Instant) {
    tokio::select! {
        () = time::sleep_until(until.into()) => {}
        changed = applied.changed() => drop(changed),
    }
}
