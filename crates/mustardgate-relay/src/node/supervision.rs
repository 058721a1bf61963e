//! Tasks that a node needs for as long as it runs.

use std::time::Duration;

use metrics::counter;
use mustardgate::events;
use slog::{Logger, o};
use tokio::{task::JoinHandle, time};

/// Pause before the first restart of a task and longest pause; the pause doubles with each restart.
const RESTART_PAUSE: Duration = Duration::from_millis(100);
const RESTART_PAUSE_MAX: Duration = Duration::from_secs(5);

/// Runs a task, and starts it again when it panics: without it the process would go on with what it knew until then.
pub fn keep_running<F, T>(logger: Logger, name: &'static str, mut start: F) -> JoinHandle<()>
where
    F: FnMut() -> T + Send + 'static,
    T: Future<Output = ()> + Send + 'static,
{
    tokio::spawn(async move {
        let mut pause = RESTART_PAUSE;
        while let Err(error) = tokio::spawn(start()).await {
            if !error.is_panic() {
                return;
            }
            counter!("mustardgate_tasks_panicked_total", "task" => name).increment(1);
            events::RELAY_TASK_PANICKED.write(&logger, o!("pause_ms" => pause.as_millis() as u64, "task" => name));
            time::sleep(pause).await;
            pause = (pause * 2).min(RESTART_PAUSE_MAX);
        }
    })
}
