//! `mustardctl` against a real node: apply, conflicts, watches, deletion, and load sent through the node and directly
//! to the engine.

use std::{path::PathBuf, time::Duration};

use mustardgate_standins::harness::{
    BackendKind, BackendOptions, BinarySet, ChildProcess, ClusterOptions, DomainOptions, TestCluster,
};
use serde_json::Value;

const TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const MAX_POLLS: u32 = 150;
const TENANT_KEY: &str = "island-kitchen-demo-key";
const TENANT_DIGEST: &str = include_str!("data/tenant-digest.txt");

/// A deployment with one runner, and the path of the program under test.
struct CtlTestbed {
    cluster: TestCluster,
    program: PathBuf,
    command_count: u32,
}

/// Output and exit code of a command.
struct CtlResult {
    output: String,
    code: Option<i32>,
}

impl CtlTestbed {
    async fn start() -> Self {
        let options = ClusterOptions {
            domains: vec![DomainOptions {
                name: "a".into(),
                region: "north".into(),
                nodes: 1,
            }],
            backends: vec![BackendOptions {
                name: "runner-1".into(),
                domain: "a".into(),
                kind: BackendKind::Engine,
                address: None,
                arguments: ["--load-ms", "0", "--report-lag-ms", "0"].map(str::to_owned).to_vec(),
            }],
            platform_arguments: ["--list-lag-ms", "0"].map(str::to_owned).to_vec(),
            platform_settings: String::new(),
            extra_settings: "[drain]\ngrace_ms = 0\n".to_owned(),
        };
        let cluster = TestCluster::start(options).await.expect("the deployment starts");
        cluster.nodes[0]
            .wait_ready(TIMEOUT)
            .await
            .expect("the node reads the log");
        let scratch = cluster.scratch();
        scratch.write("tenant.key", TENANT_KEY).expect("written");
        let directory = scratch.path().join("declared");
        std::fs::create_dir_all(&directory).expect("created");
        std::fs::write(directory.join("all.toml"), declarations(&cluster)).expect("written");
        let program = BinarySet::locate()
            .and_then(|set| set.program("mustardctl"))
            .expect("built");
        Self {
            cluster,
            program,
            command_count: 0,
        }
    }

    fn path(&self, name: &str) -> String {
        self.cluster.scratch().path().join(name).display().to_string()
    }

    /// Runs a command as an operator, with JSON as output.
    async fn run_as_operator(&mut self, command: &[&str]) -> CtlResult {
        let server = self.cluster.nodes[0].addresses.operators.to_string();
        let key = self.path("operators.key");
        self.run(command, &["--server", &server, "--key-file", &key, "--output", "json"])
            .await
    }

    async fn run(&mut self, command: &[&str], options: &[&str]) -> CtlResult {
        self.command_count += 1;
        let name = format!("mustardctl-{}", self.command_count);
        let arguments: Vec<String> = command.iter().chain(options).map(|word| (*word).to_owned()).collect();
        let directory = self.cluster.scratch().path();
        let mut process = ChildProcess::start(&name, &self.program, &arguments, directory).expect("started");
        let code = process.wait(TIMEOUT).await.expect("it ends").code();
        let output = std::fs::read_to_string(process.output()).expect("readable");
        CtlResult { output, code }
    }

    /// Waits until the node reports that the model is ready.
    async fn await_model(&mut self) {
        for _ in 0..MAX_POLLS {
            let result = self.run_as_operator(&["get", "model", "menu"]).await;
            assert_eq!(result.code, Some(0), "{}", result.output);
            let items: Value = serde_json::from_str(&result.output).expect("JSON");
            if items[0]["status"]["conditions"][0]["holds"] == true {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("the model is not ready in time");
    }
}

fn declarations(cluster: &TestCluster) -> String {
    let address = cluster.backend("runner-1").expect("started").address;
    format!(
        "[[resource]]\nkind = \"backend\"\nname = \"runner-1\"\n[resource.spec]\ndomain = \"a\"\nregion = \"north\"\n\
         address = \"{address}\"\nrole = \"engine\"\naccelerators = [{{ memory_mib = 24576 }}]\n\
         [[resource]]\nkind = \"model\"\nname = \"menu\"\n[resource.spec]\nserving = \"v1\"\n\
         versions = [{{ name = \"v1\", memory_mib = 1000 }}]\n\
         [[resource]]\nkind = \"service\"\nname = \"menus\"\n[resource.spec]\npriority = \"interactive\"\nshare = 1\n\
         models = [\"menu\"]\ntarget_ms = 580\n\
         [[resource]]\nkind = \"tenant\"\nname = \"island-kitchen\"\n[resource.spec]\nkey_digests = [\"{}\"]\n",
        TENANT_DIGEST.trim()
    )
}

#[tokio::test]
async fn resources_are_applied_read_watched_and_deleted() {
    let mut testbed = CtlTestbed::start().await;
    let directory = testbed.path("declared");
    let applied = testbed.run_as_operator(&["apply", "-f", &directory]).await;
    assert_eq!(applied.code, Some(0), "{}", applied.output);
    assert_eq!(
        testbed
            .run_as_operator(&["diff", "-f", &directory, "--prune"])
            .await
            .code,
        Some(0)
    );

    let described = testbed.run_as_operator(&["describe", "tenant", "island-kitchen"]).await;
    let tenant: Value = serde_json::from_str(&described.output).expect("JSON");
    let version = tenant["version"].as_u64().expect("a version");
    let stale = (version - 1).to_string();
    let refused = testbed
        .run_as_operator(&["delete", "tenant", "island-kitchen", "--version", &stale])
        .await;
    assert_eq!(refused.code, Some(3), "{}", refused.output);
    let deleted = testbed.run_as_operator(&["delete", "tenant", "island-kitchen"]).await;
    assert_eq!(deleted.code, Some(0), "{}", deleted.output);
    assert_eq!(
        testbed
            .run_as_operator(&["describe", "tenant", "island-kitchen"])
            .await
            .code,
        Some(8)
    );

    let from = version.to_string();
    let watched = testbed
        .run_as_operator(&["watch", "tenant", "--from", &from, "--count", "2"])
        .await;
    let events: Vec<Value> = watched
        .output
        .lines()
        .map(|line| serde_json::from_str(line).expect("JSON"))
        .collect();
    let kinds: Vec<&Value> = events.iter().map(|event| &event["event"]).collect();
    assert_eq!(kinds, ["changed", "deleted"]);

    let status = testbed.run_as_operator(&["status"]).await;
    let nodes: Value = serde_json::from_str(&status.output).expect("JSON");
    assert_eq!(nodes[0]["node"], "a-node-1");
}

#[tokio::test]
async fn load_is_answered_through_the_node_and_directly_by_the_engine() {
    let mut testbed = CtlTestbed::start().await;
    let directory = testbed.path("declared");
    let applied = testbed.run_as_operator(&["apply", "-f", &directory]).await;
    assert_eq!(applied.code, Some(0), "{}", applied.output);
    testbed.await_model().await;
    let node = testbed.cluster.nodes[0].addresses.callers.to_string();
    let engine = testbed.cluster.backends[0].address.to_string();
    let tenant = format!("island-kitchen={}", testbed.path("tenant.key"));
    let load = [
        "load",
        "menu",
        "--rate",
        "20",
        "--seconds",
        "1.5",
        "--max-tokens",
        "8",
        "--output",
        "json",
    ];
    let through_node = testbed.run(&load, &["--server", &node, "--tenant", &tenant]).await;
    let direct = testbed
        .run(&load, &["--server", &engine, "--engine-version", "v1"])
        .await;
    for result in [through_node, direct] {
        assert_eq!(result.code, Some(0), "{}", result.output);
        let report: Value = serde_json::from_str(&result.output).expect("JSON");
        let sent = report["sent"].as_u64().expect("a count");
        assert!(sent > 10, "{report}");
        assert_eq!(report["answered"].as_u64(), Some(sent), "{report}");
        assert_eq!(report["tokens"].as_u64(), Some(sent * 8), "{report}");
        let median = |latency: &str| report[latency]["p50"].as_f64().expect("a number");
        // The engine generates a token every 10 ms, so that at least seven intervals pass between the first and the
        // eighth token.
        assert!(median("whole_answer_ms") >= 70.0, "{report}");
        assert!(median("token_gap_ms") >= 9.0, "{report}");
        assert!(
            median("first_token_ms") > 0.0 && median("first_token_ms") < median("whole_answer_ms"),
            "{report}"
        );
    }
}
