//! Runs a small deployment on loopback and checks it end to end: `quickstart [--keep]`.
//!
//! Exits with 0 when every check holds and with 1 after naming the one that does not.

use std::{
    fs,
    path::{Path, PathBuf},
    process::ExitCode,
    time::Duration,
};

use lexopt::prelude::Long;
use mustardctl::declarations::{DeclaredResource, read_folder};
use mustardgate_core::resources::{BackendRole, BackendSpec, FencingSupport, ResourceSpec};
use mustardgate_standins::{
    engine_http::whole_answer,
    harness::{
        BackendKind, BackendOptions, BinarySet, ChildProcess, ClusterOptions, DomainOptions, RunningNode, TestCluster,
    },
    http::wait_for_stop,
    service::ServiceStats,
};
use smol_str::SmolStr;

type StepResult<T> = Result<T, Box<dyn std::error::Error>>;

/// Folder with the declarations, below the root of the repository.
const EXAMPLES_FOLDER: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
/// Key of a tenant in the example declarations.
const TENANT_KEY: &str = "island-kitchen-demo-key";
/// Time within which a change must be in force on every node.
const CHANGE_LIMIT: Duration = Duration::from_secs(12);
/// Time within which every declared model must answer.
const PLACEMENT_LIMIT: Duration = Duration::from_secs(60);
/// Time for one command of `mustardctl`.
const COMMAND_LIMIT: Duration = Duration::from_secs(60);
/// Time for a node to stop.
const STOP_LIMIT: Duration = Duration::from_secs(15);
/// Time between two looks at something that has to come about.
const POLL_STEP: Duration = Duration::from_millis(200);
const ANSWER_TOKENS: u32 = 24;

/// A running deployment with what is needed to talk to it.
struct QuickstartRun {
    cluster: TestCluster,
    ctl: PathBuf,
    operator_key_file: PathBuf,
    tenant_key_file: PathBuf,
    commands: u32,
}

/// What a command printed, and whether it succeeded.
struct CommandResult {
    output: String,
    code: Option<i32>,
}

#[tokio::main]
async fn main() -> ExitCode {
    let mut parser = lexopt::Parser::from_env();
    let is_keeping = match parser.next() {
        Ok(None) => false,
        Ok(Some(Long("keep"))) => true,
        _ => {
            eprintln!("usage: quickstart [--keep]");
            return ExitCode::from(2);
        }
    };
    match run(is_keeping).await {
        Ok(()) => {
            println!("quickstart: every check holds");
            ExitCode::SUCCESS
        }
        Err(error) => {
            println!("FAILED {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(is_keeping: bool) -> StepResult<()> {
    // A signal ends the run by dropping the deployment, which ends its processes.
    let run = tokio::select! {
        run = run_checks() => run?,
        _ = wait_for_stop() => return Err("stopped by a signal".into()),
    };
    if is_keeping {
        run.print_addresses();
        wait_for_stop().await?;
    }
    run.check_stop().await
}

async fn run_checks() -> StepResult<QuickstartRun> {
    let declared = read_folder(Path::new(EXAMPLES_FOLDER))?;
    let mut run = QuickstartRun::start(&declared).await?;
    run.apply_examples().await?;
    run.await_models().await?;
    run.check_stream().await?;
    run.check_order().await?;
    run.check_change().await?;
    Ok(run)
}

impl QuickstartRun {
    async fn start(declared: &[DeclaredResource]) -> StepResult<Self> {
        let options = ClusterOptions {
            domains: domains_of(declared),
            backends: declared.iter().filter_map(backend_options).collect(),
            platform_arguments: Vec::new(),
            platform_settings: String::new(),
            extra_settings: "[drain]\ngrace_ms = 200\n".to_owned(),
        };
        let cluster = TestCluster::start(options).await?;
        let scratch = cluster.scratch();
        let operator_key_file = scratch.write("operators.key", &cluster.operator_key)?;
        let tenant_key_file = scratch.write("tenant.key", TENANT_KEY)?;
        passed(&format!(
            "platform, {} nodes and {} backend servers run",
            cluster.nodes.len(),
            cluster.backends.len()
        ));
        Ok(Self {
            cluster,
            ctl: BinarySet::locate()?.program("mustardctl")?,
            operator_key_file,
            tenant_key_file,
            commands: 0,
        })
    }

    async fn apply_examples(&mut self) -> StepResult<()> {
        let words = ["apply", "--filename", EXAMPLES_FOLDER];
        let applied = self.operate(0, &words).await?;
        expect_success("apply", &applied)?;
        for node in &self.cluster.nodes {
            node.wait_ready(CHANGE_LIMIT).await?;
        }
        passed("the example declarations are applied and both nodes are ready");
        Ok(())
    }

    async fn await_models(&mut self) -> StepResult<()> {
        for node in 0..self.cluster.nodes.len() {
            for kind in ["model", "adapter"] {
                let is_ready = |items: &serde_json::Value| every_item(items, is_item_ready);
                self.await_state(node, &["get", kind], PLACEMENT_LIMIT, is_ready)
                    .await?;
            }
        }
        passed("every declared model and adapter answers somewhere, as both nodes see it");
        Ok(())
    }

    async fn check_stream(&mut self) -> StepResult<()> {
        let prompt = "draft tomorrow's lunch menu [seed:7]";
        let tokens = ANSWER_TOKENS.to_string();
        for node in 0..self.cluster.nodes.len() {
            let words = ["call", "menu-assistant", prompt, "--stream", "--max-tokens", &tokens];
            let answer = self.call(node, &words).await?;
            expect_success("the streamed answer", &answer)?;
            if answer.output.trim() != whole_answer(prompt, ANSWER_TOKENS).trim() {
                return Err(format!("the streamed answer is not the one to this prompt: {}", answer.output).into());
            }
        }
        passed("a streamed answer is whole and its own, through both nodes");
        Ok(())
    }

    async fn check_order(&mut self) -> StepResult<()> {
        let key = "order-of-island-kitchen-1";
        let order = "{\"lunches\":40}";
        let words = [
            "call",
            "--service",
            "orders",
            "POST",
            "/orders",
            order,
            "--idempotency-key",
            key,
        ];
        let mut answers = Vec::new();
        for node in 0..self.cluster.nodes.len() {
            let answer = self.call(node, &words).await?;
            expect_success("the order", &answer)?;
            answers.push(answer.output);
        }
        let stats: ServiceStats = self.cluster.backend_stats("pier-orders-1").await?;
        let runs = stats.by_key.get(key).copied().unwrap_or(0);
        if runs != 1 {
            return Err(format!("the order sent twice with one key ran {runs} times").into());
        }
        if answers.windows(2).any(|pair| pair[0] != pair[1]) {
            return Err(format!("the second answer differs from the first: {answers:?}").into());
        }
        passed("an order sent through both nodes with one key ran once and was answered alike");
        Ok(())
    }

    async fn check_change(&mut self) -> StepResult<()> {
        let folder = self.cluster.scratch().path().join("changed");
        fs::create_dir_all(&folder)?;
        let text = "kind = \"service\"\nname = \"menus\"\n[spec]\npriority = \"interactive\"\nshare = 5\n\
                    models = [\"menu-assistant\", \"driver-notes\"]\ntarget_ms = 580\n";
        fs::write(folder.join("menus.toml"), text)?;
        let folder = folder.display().to_string();
        let applied = self.operate(0, &["apply", "--filename", &folder]).await?;
        expect_success("the operator's change", &applied)?;
        for node in 0..self.cluster.nodes.len() {
            let is_changed = |items: &serde_json::Value| {
                every_item(items, |item| {
                    item["spec"]["spec"]["share"] == 5 && item["generation"] == 2
                })
            };
            self.await_state(node, &["get", "service", "menus"], CHANGE_LIMIT, is_changed)
                .await?;
        }
        passed("an operator's change made at one node is in force on both");
        Ok(())
    }

    async fn check_stop(mut self) -> StepResult<()> {
        for node in &mut self.cluster.nodes {
            stop_node(node).await?;
        }
        passed("both nodes stop with exit code 0 on SIGTERM");
        Ok(())
    }

    fn print_addresses(&self) {
        println!("platform   http://{}", self.cluster.platform_address);
        for node in &self.cluster.nodes {
            let addresses = node.addresses;
            println!(
                "{}   callers http://{}   operators http://{}",
                node.name, addresses.callers, addresses.operators
            );
        }
        for backend in &self.cluster.backends {
            println!("{}   http://{}", backend.name, backend.address);
        }
        println!("operators' key file   {}", self.operator_key_file.display());
        println!("tenant's key file     {}", self.tenant_key_file.display());
        println!("Ctrl-C stops everything.");
    }

    /// Asks a node until what it shows is as wanted.
    async fn await_state(
        &mut self,
        node: usize,
        words: &[&str],
        limit: Duration,
        is_wanted: impl Fn(&serde_json::Value) -> bool,
    ) -> StepResult<()> {
        let deadline = tokio::time::Instant::now() + limit;
        loop {
            let shown = self.operate(node, words).await?;
            expect_success(&words.join(" "), &shown)?;
            if is_wanted(&serde_json::from_str(&shown.output)?) {
                return Ok(());
            }
            if tokio::time::Instant::now() >= deadline {
                let name = &self.cluster.nodes[node].name;
                let words = words.join(" ");
                return Err(format!("{name}: {words} is not as wanted after {limit:?}: {}", shown.output).into());
            }
            tokio::time::sleep(POLL_STEP).await;
        }
    }

    /// Runs `mustardctl` as an operator, with JSON as output.
    async fn operate(&mut self, node: usize, words: &[&str]) -> StepResult<CommandResult> {
        let server = self.cluster.nodes[node].addresses.operators.to_string();
        let key_file = self.operator_key_file.clone();
        self.run_ctl(words, &["--server", &server, "--output", "json"], &key_file)
            .await
    }

    /// Runs `mustardctl` as a caller.
    async fn call(&mut self, node: usize, words: &[&str]) -> StepResult<CommandResult> {
        let server = self.cluster.nodes[node].addresses.callers.to_string();
        let key_file = self.tenant_key_file.clone();
        self.run_ctl(words, &["--server", &server], &key_file).await
    }

    async fn run_ctl(&mut self, words: &[&str], options: &[&str], key_file: &Path) -> StepResult<CommandResult> {
        self.commands += 1;
        let name = format!("mustardctl-{}", self.commands);
        let mut arguments: Vec<String> = words.iter().chain(options).map(|word| (*word).to_owned()).collect();
        arguments.extend(["--key-file".to_owned(), key_file.display().to_string()]);
        let folder = self.cluster.scratch().path();
        let mut process = ChildProcess::start(&name, &self.ctl, &arguments, folder)?;
        let status = process.wait(COMMAND_LIMIT).await?;
        Ok(CommandResult {
            output: fs::read_to_string(process.output())?,
            code: status.code(),
        })
    }
}

fn passed(what: &str) {
    println!("ok     {what}");
}

fn expect_success(what: &str, result: &CommandResult) -> StepResult<()> {
    if result.code == Some(0) {
        return Ok(());
    }
    Err(format!("{what}: exit code {:?}: {}", result.code, result.output.trim()).into())
}

/// Returns whether there are items and the condition holds for each.
fn every_item(items: &serde_json::Value, holds: impl Fn(&serde_json::Value) -> bool) -> bool {
    items
        .as_array()
        .is_some_and(|items| !items.is_empty() && items.iter().all(holds))
}

fn is_item_ready(item: &serde_json::Value) -> bool {
    every_item(&item["status"]["conditions"], |condition| condition["holds"] == true)
}

async fn stop_node(node: &mut RunningNode) -> StepResult<()> {
    node.process.terminate()?;
    let status = node.process.wait(STOP_LIMIT).await?;
    if status.success() {
        return Ok(());
    }
    Err(format!("{} stopped with {status}", node.name).into())
}

/// Returns the failure domains that the declared backend servers stand in.
fn domains_of(declared: &[DeclaredResource]) -> Vec<DomainOptions> {
    let mut domains: Vec<DomainOptions> = Vec::new();
    for spec in declared.iter().filter_map(backend_spec) {
        if domains.iter().all(|domain| domain.name != spec.domain) {
            domains.push(DomainOptions {
                name: spec.domain.clone(),
                region: spec.region.clone(),
                nodes: 1,
            });
        }
    }
    domains
}

fn backend_spec(resource: &DeclaredResource) -> Option<&BackendSpec> {
    match &resource.spec {
        ResourceSpec::Backend(spec) => Some(spec),
        _ => None,
    }
}

/// Returns how to start the stand-in of a declared backend server, at its declared address.
fn backend_options(resource: &DeclaredResource) -> Option<BackendOptions> {
    let spec = backend_spec(resource)?;
    let (kind, arguments) = match spec.role {
        BackendRole::Engine => (BackendKind::Engine, engine_arguments(spec)),
        BackendRole::Plain(_) => (BackendKind::Service, Vec::new()),
    };
    let name: SmolStr = resource.key.name.clone();
    Some(BackendOptions {
        name,
        domain: spec.domain.clone(),
        kind,
        address: Some(spec.address),
        arguments,
    })
}

fn engine_arguments(spec: &BackendSpec) -> Vec<String> {
    let memory: Vec<String> = spec
        .accelerators
        .iter()
        .map(|accelerator| accelerator.memory_mib.to_string())
        .collect();
    let fencing = match spec.fencing {
        FencingSupport::Refuses => "refuses",
        FencingSupport::Ignores => "ignores",
    };
    let words = ["--accelerators", &memory.join(","), "--fencing", fencing];
    words.map(str::to_owned).to_vec()
}
