//! Kills the leader of a failure domain in a deployment of real processes, under keyed orders, chats and changes.

use mustardgate_standins::failures::{fault_scripts, run_fault};

const SEED: u64 = 1;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killing_the_leader_violates_no_guarantee() {
    let scripts = fault_scripts();
    let script = scripts.iter().find(|script| script.name() == "leader-killed");
    let report = run_fault(script.expect("the fault is listed").as_ref(), SEED)
        .await
        .expect("the fault is injected and the result checked");
    assert_eq!(report.violations, Vec::<String>::new());
    for count in ["keyed_orders_run", "chats_whole", "changes_accepted", "engine_loads"] {
        assert!(report.counts[count] > 0, "no {count}: {:?}", report.counts);
    }
}
