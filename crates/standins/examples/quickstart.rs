//! Runs a small deployment on loopback and checks it end to end: `quickstart [--keep]`.
//!
//! Exits with 0 when every check passes, and with 1 after printing the first one that fails.

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

/// Directory with the example declarations.
const EXAMPLES_DIRECTORY: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
/// Key of a tenant in the example declarations.
const TENANT_KEY: &str = "island-kitchen-demo-key";
/// Time within which a change must be in force on every node.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(12);
/// Time within which every declared model and adapter must be ready.
const PLACEMENT_TIMEOUT: Duration = Duration::from_secs(60);
/// Time limit for one command of `mustardctl`.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(60);
/// Time within which a node must stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(15);
/// Time between two checks of an awaited condition.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
const ANSWER_TOKENS: u32 = 24;

/// A running deployment with the program and key files for calling it.
struct QuickstartRun {
    cluster: TestCluster,
    ctl: PathBuf,
    operator_key_file: PathBuf,
    tenant_key_file: PathBuf,
    command_count: u32,
}

/// Output and exit code of a command.
struct CommandResult {
    output: String,
    exit_code: Option<i32>,
}

#[tokio::main]
async fn main() -> ExitCode {
    let mut parser = lexopt::Parser::from_env();
    let is_kept_running = match parser.next() {
        Ok(None) => false,
        Ok(Some(Long("keep"))) => true,
        _ => {
            eprintln!("usage: quickstart [--keep]");
            return ExitCode::from(2);
        }
    };
    match run(is_kept_running).await {
        Ok(()) => {
            println!("quickstart: every check passed");
            ExitCode::SUCCESS
        }
        Err(error) => {
            println!("FAILED {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(is_kept_running: bool) -> StepResult<()> {
    // A signal ends the run by dropping the deployment, which ends its processes.
    let run = tokio::select! {
        run = run_checks() => run?,
        _ = wait_for_stop() => return Err("stopped by a signal".into()),
    };
    if is_kept_running {
        run.print_addresses();
        wait_for_stop().await?;
    }
    run.check_stop().await
}

async fn run_checks() -> StepResult<QuickstartRun> {
    let declared = read_folder(Path::new(EXAMPLES_DIRECTORY))?;
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
        print_passed(&format!(
            "the platform, {} nodes and {} backend servers are running",
            cluster.nodes.len(),
            cluster.backends.len()
        ));
        Ok(Self {
            cluster,
            ctl: BinarySet::locate()?.program("mustardctl")?,
            operator_key_file,
            tenant_key_file,
            command_count: 0,
        })
    }

    async fn apply_examples(&mut self) -> StepResult<()> {
        let command = ["apply", "--filename", EXAMPLES_DIRECTORY];
        let applied = self.run_as_operator(0, &command).await?;
        expect_success("apply", &applied)?;
        for node in &self.cluster.nodes {
            node.wait_ready(CHANGE_TIMEOUT).await?;
        }
        print_passed("the example declarations are applied and both nodes are ready");
        Ok(())
    }

    async fn await_models(&mut self) -> StepResult<()> {
        for node in 0..self.cluster.nodes.len() {
            for kind in ["model", "adapter"] {
                let is_ready = |items: &serde_json::Value| every_item(items, is_item_ready);
                self.await_state(node, &["get", kind], PLACEMENT_TIMEOUT, is_ready)
                    .await?;
            }
        }
        print_passed("both nodes report every declared model and adapter as ready");
        Ok(())
    }

    async fn check_stream(&mut self) -> StepResult<()> {
        let prompt = "draft tomorrow's lunch menu [seed:7]";
        let tokens = ANSWER_TOKENS.to_string();
        for node in 0..self.cluster.nodes.len() {
            let command = ["call", "menu-assistant", prompt, "--stream", "--max-tokens", &tokens];
            let answer = self.run_as_caller(node, &command).await?;
            expect_success("the streamed answer", &answer)?;
            if answer.output.trim() != whole_answer(prompt, ANSWER_TOKENS).trim() {
                return Err(format!("the streamed answer does not match the prompt: {}", answer.output).into());
            }
        }
        print_passed("a streamed answer is complete and matches its prompt, through both nodes");
        Ok(())
    }

    async fn check_order(&mut self) -> StepResult<()> {
        let key = "order-of-island-kitchen-1";
        let order = "{\"lunches\":40}";
        let command = [
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
            let answer = self.run_as_caller(node, &command).await?;
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
        print_passed("an order sent through both nodes with one key ran once and got the same answer from both");
        Ok(())
    }

    async fn check_change(&mut self) -> StepResult<()> {
        let directory = self.cluster.scratch().path().join("changed");
        fs::create_dir_all(&directory)?;
        let text = "kind = \"service\"\nname = \"menus\"\n[spec]\npriority = \"interactive\"\nshare = 5\n\
                    models = [\"menu-assistant\", \"driver-notes\"]\ntarget_ms = 580\n";
        fs::write(directory.join("menus.toml"), text)?;
        let directory = directory.display().to_string();
        let applied = self.run_as_operator(0, &["apply", "--filename", &directory]).await?;
        expect_success("the operator's change", &applied)?;
        for node in 0..self.cluster.nodes.len() {
            let is_changed = |items: &serde_json::Value| {
                every_item(items, |item| {
                    item["spec"]["spec"]["share"] == 5 && item["generation"] == 2
                })
            };
            self.await_state(node, &["get", "service", "menus"], CHANGE_TIMEOUT, is_changed)
                .await?;
        }
        print_passed("an operator's change made through one node is in force on both");
        Ok(())
    }

    async fn check_stop(mut self) -> StepResult<()> {
        for node in &mut self.cluster.nodes {
            stop_node(node).await?;
        }
        print_passed("both nodes stop with exit code 0 on SIGTERM");
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
        println!("Press Ctrl-C to stop the deployment.");
    }

    /// Repeats a command at a node until its output meets a condition.
    async fn await_state(
        &mut self,
        node: usize,
        command: &[&str],
        limit: Duration,
        is_met: impl Fn(&serde_json::Value) -> bool,
    ) -> StepResult<()> {
        let deadline = tokio::time::Instant::now() + limit;
        loop {
            let result = self.run_as_operator(node, command).await?;
            expect_success(&command.join(" "), &result)?;
            if is_met(&serde_json::from_str(&result.output)?) {
                return Ok(());
            }
            if tokio::time::Instant::now() >= deadline {
                let name = &self.cluster.nodes[node].name;
                let command = command.join(" ");
                return Err(format!(
                    "{name}: unexpected output of {command} after {limit:?}: {}",
                    result.output
                )
                .into());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Runs `mustardctl` as an operator, with JSON as output.
    async fn run_as_operator(&mut self, node: usize, command: &[&str]) -> StepResult<CommandResult> {
        let server = self.cluster.nodes[node].addresses.operators.to_string();
        let key_file = self.operator_key_file.clone();
        self.run_ctl(command, &["--server", &server, "--output", "json"], &key_file)
            .await
    }

    /// Runs `mustardctl` as a caller.
    async fn run_as_caller(&mut self, node: usize, command: &[&str]) -> StepResult<CommandResult> {
        let server = self.cluster.nodes[node].addresses.callers.to_string();
        let key_file = self.tenant_key_file.clone();
        self.run_ctl(command, &["--server", &server], &key_file).await
    }

    async fn run_ctl(&mut self, command: &[&str], options: &[&str], key_file: &Path) -> StepResult<CommandResult> {
        self.command_count += 1;
        let name = format!("mustardctl-{}", self.command_count);
        let mut arguments: Vec<String> = command.iter().chain(options).map(|word| (*word).to_owned()).collect();
        arguments.extend(["--key-file".to_owned(), key_file.display().to_string()]);
        let directory = self.cluster.scratch().path();
        let mut process = ChildProcess::start(&name, &self.ctl, &arguments, directory)?;
        let status = process.wait(COMMAND_TIMEOUT).await?;
        Ok(CommandResult {
            output: fs::read_to_string(process.output())?,
            exit_code: status.code(),
        })
    }
}

fn print_passed(check: &str) {
    println!("ok     {check}");
}

fn expect_success(action: &str, result: &CommandResult) -> StepResult<()> {
    if result.exit_code == Some(0) {
        return Ok(());
    }
    Err(format!("{action}: exit code {:?}: {}", result.exit_code, result.output.trim()).into())
}

/// Returns whether there is at least one item and the condition holds for each.
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
    let status = node.process.wait(STOP_TIMEOUT).await?;
    if status.success() {
        return Ok(());
    }
    Err(format!("{} stopped with {status}", node.name).into())
}

/// Returns the failure domains of the declared backend servers, each with one node.
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

/// Returns the options for starting the stand-in of a declared backend server, at its declared address.
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
    let arguments = ["--accelerators", &memory.join(","), "--fencing", fencing];
    arguments.map(str::to_owned).to_vec()
}
