//! Submission of an operator's change to the log.

use std::time::Instant;

use mustardgate_core::{
    clock,
    config::{ChangeOutcome, ChangeSubmission, SubmissionAction},
    ids::Offset,
    log::LogRecord,
    ports::{AppendError, ReadError},
};
use tokio::time;

use crate::context::NodeContext;

/// Runs a submission until its outcome is known or its deadline passes.
pub async fn submit_change(context: &NodeContext, mut submission: ChangeSubmission) -> ChangeOutcome {
    let deadline = submission.deadline().into();
    let mut applied = context.directory.watch_applied();
    loop {
        applied.mark_unchanged();
        match context.directory.read(|replica| submission.poll(replica, clock::now())) {
            SubmissionAction::Append(record) => {
                let append = context.log.append(LogRecord::Change(record));
                let answer = time::timeout_at(deadline, append).await;
                submission.on_append(answer.unwrap_or(Err(AppendError::Unknown)), clock::now());
                context.directory.inbox().note_append();
            }
            SubmissionAction::FindEnd => {
                let end = time::timeout_at(deadline, find_end(context)).await;
                submission.on_end(end.unwrap_or(Err(ReadError::Unavailable)), clock::now());
                context.directory.inbox().note_append();
            }
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
