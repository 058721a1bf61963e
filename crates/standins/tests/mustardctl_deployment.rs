//! `mustardctl` against a real node: apply, conflicts, watches, deletion, and load through the node and past it.

use std::{path::PathBuf, time::Duration};

use mustardgate_standins::harness::{
    BackendKind, BackendOptions, BinarySet, ChildProcess, ClusterOptions, DomainOptions, TestCluster,
};
use serde_json::Value;

const LIMIT: Duration = Duration::from_secs(10);
const POLL_STEP: Duration = Duration::from_millis(50);
const MAX_POLLS: u32 = 150;
const TENANT_KEY: &str = "island-kitchen-demo-key";
const TENANT_DIGEST: &str = include_str!("data/tenant-digest.txt");

/// A deployment with one runner, and the program under test.
struct CtlBench {
    cluster: TestCluster,
    program: PathBuf,
    commands: u32,
}

/// What a command printed, and its exit code.
struct CtlResult {
    output: String,
    code: Option<i32>,
}

impl CtlBench {
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
            .wait_ready(LIMIT)
            .await
            .expect("the node reads the log");
        let scratch = cluster.scratch();
        scratch.write("tenant.key", TENANT_KEY).expect("written");
        let folder = scratch.path().join("declared");
        std::fs::create_dir_all(&folder).expect("created");
        std::fs::write(folder.join("all.toml"), declarations(&cluster)).expect("written");
        let program = BinarySet::locate()
            .and_then(|set| set.program("mustardctl"))
            .expect("built");
        Self {
            cluster,
            program,
            commands: 0,
        }
    }

    fn path(&self, name: &str) -> String {
        self.cluster.scratch().path().join(name).display().to_string()
    }

    async fn operate(&mut self, words: &[&str]) -> CtlResult {
        let server = self.cluster.nodes[0].addresses.operators.to_string();
        let key = self.path("operators.key");
        self.run(words, &["--server", &server, "--key-file", &key, "--output", "json"])
            .await
    }

    async fn run(&mut self, words: &[&str], options: &[&str]) -> CtlResult {
        self.commands += 1;
        let name = format!("mustardctl-{}", self.commands);
        let arguments: Vec<String> = words.iter().chain(options).map(|word| (*word).to_owned()).collect();
        let folder = self.cluster.scratch().path();
        let mut process = ChildProcess::start(&name, &self.program, &arguments, folder).expect("started");
        let code = process.wait(LIMIT).await.expect("it ends").code();
        let output = std::fs::read_to_string(process.output()).expect("readable");
        CtlResult { output, code }
    }

    /// Waits until the model answers, as the node sees it.
    async fn await_model(&mut self) {
        for _ in 0..MAX_POLLS {
            let shown = self.operate(&["get", "model", "menu"]).await;
            assert_eq!(shown.code, Some(0), "{}", shown.output);
            let items: Value = serde_json::from_str(&shown.output).expect("JSON");
            if items[0]["status"]["conditions"][0]["holds"] == true {
                return;
            }
            tokio::time::sleep(POLL_STEP).await;
        }
        panic!("the model never answers");
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
async fn declarations_are_applied_changed_watched_and_deleted() {
    let mut bench = CtlBench::start().await;
    let folder = bench.path("declared");
    let applied = bench.operate(&["apply", "-f", &folder]).await;
    assert_eq!(applied.code, Some(0), "{}", applied.output);
    assert_eq!(bench.operate(&["diff", "-f", &folder, "--prune"]).await.code, Some(0));

    let described = bench.operate(&["describe", "tenant", "island-kitchen"]).await;
    let tenant: Value = serde_json::from_str(&described.output).expect("JSON");
    let version = tenant["version"].as_u64().expect("a version");
    let stale = (version - 1).to_string();
    let refused = bench
        .operate(&["delete", "tenant", "island-kitchen", "--version", &stale])
        .await;
    assert_eq!(refused.code, Some(3), "{}", refused.output);
    let deleted = bench.operate(&["delete", "tenant", "island-kitchen"]).await;
    assert_eq!(deleted.code, Some(0), "{}", deleted.output);
    assert_eq!(
        bench.operate(&["describe", "tenant", "island-kitchen"]).await.code,
        Some(8)
    );

    let from = version.to_string();
    let watched = bench
        .operate(&["watch", "tenant", "--from", &from, "--count", "2"])
        .await;
    let events: Vec<Value> = watched
        .output
        .lines()
        .map(|line| serde_json::from_str(line).expect("JSON"))
        .collect();
    let kinds: Vec<&Value> = events.iter().map(|event| &event["event"]).collect();
    assert_eq!(kinds, ["changed", "deleted"]);

    let status = bench.operate(&["status"]).await;
    let nodes: Value = serde_json::from_str(&status.output).expect("JSON");
    assert_eq!(nodes[0]["node"], "a-node-1");
}

#[tokio::test]
async fn load_is_answered_through_the_node_and_past_it() {
    let mut bench = CtlBench::start().await;
    let folder = bench.path("declared");
    let applied = bench.operate(&["apply", "-f", &folder]).await;
    assert_eq!(applied.code, Some(0), "{}", applied.output);
    bench.await_model().await;
    let node = bench.cluster.nodes[0].addresses.callers.to_string();
    let engine = bench.cluster.backends[0].address.to_string();
    let tenant = format!("island-kitchen={}", bench.path("tenant.key"));
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
    let through = bench.run(&load, &["--server", &node, "--tenant", &tenant]).await;
    let past = bench.run(&load, &["--server", &engine, "--engine-version", "v1"]).await;
    for result in [through, past] {
        assert_eq!(result.code, Some(0), "{}", result.output);
        let report: Value = serde_json::from_str(&result.output).expect("JSON");
        let sent = report["sent"].as_u64().expect("a count");
        assert!(sent > 10, "{report}");
        assert_eq!(report["answered"].as_u64(), Some(sent), "{report}");
        assert_eq!(report["tokens"].as_u64(), Some(sent * 8), "{report}");
        let median = |latency: &str| report[latency]["p50"].as_f64().expect("a number");
        // The engine generates a token every 10 ms, so eight take at least seven steps.
        assert!(median("whole_answer_ms") >= 70.0, "{report}");
        assert!(median("token_gap_ms") >= 9.0, "{report}");
        assert!(
            median("first_token_ms") > 0.0 && median("first_token_ms") < median("whole_answer_ms"),
            "{report}"
        );
    }
}
