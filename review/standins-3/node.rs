//! Nodes as processes of their own, started with the command of the deploy file.

use std::{
    env,
    fs::{self, File},
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::MessageReader,
    record::{Record, cannot_run},
    wire::call_path,
};

/// Command of the deploy file, from the root of the repository.
const PROGRAM: &str = "target/release/mustardgate-platform";
/// Longest time until a node that was started is ready.
const READY_TIME: Duration = Duration::from_secs(20);

/// Process identifiers of the nodes that run, which the script ends if this process cannot.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Writes the identifiers into the file that the script names.
fn list_running(change: impl FnOnce(&mut Vec<u32>)) {
    let mut running = RUNNING.lock().expect("no holder panics");
    change(&mut running);
    let Ok(path) = env::var("REVIEW_PIDS") else { return };
    let lines: Vec<String> = running.iter().map(u32::to_string).collect();
    fs::write(path, lines.join("\n")).unwrap_or_else(|error| cannot_run(&error.to_string()));
}

/// What the platform fills into the settings of a node.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name.
    pub name: String,
    /// Zone.
    pub zone: String,
    /// Memory of its machine, in megabytes.
    pub memory_mb: u32,
    /// File descriptors of its machine.
    pub max_descriptors: u32,
    /// Address of the store.
    pub store: SocketAddr,
    /// Whether the whole system starts for the first time.
    pub is_first_start: bool,
    /// Addresses at which other nodes are reached.
    pub seeds: Vec<SocketAddr>,
}

/// Addresses of a node's listeners.
#[derive(Clone, Copy, Debug)]
pub struct NodeAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For readiness checks.
    pub readiness: SocketAddr,
    /// For other nodes.
    pub peers: SocketAddr,
}

impl NodeAddresses {
    /// Chooses free ports of one loopback address.
    pub fn choose() -> Self {
        let listeners: Vec<TcpListener> = (0..3)
            .map(|_| TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| cannot_run(&error.to_string())))
            .collect();
        let address = |index: usize| listeners[index].local_addr().expect("a bound listener has an address");
        Self {
            callers: address(0),
            readiness: address(1),
            peers: address(2),
        }
    }
}

/// A node that runs; dropping it ends its process.
#[derive(Debug)]
pub struct Node {
    child: Child,
    settings_path: PathBuf,
    settings: NodeSettings,
    /// Its addresses.
    pub addresses: NodeAddresses,
}

impl Node {
    /// Starts a node; its settings and its log lie in `folder`.
    pub fn start(folder: &Path, settings: &NodeSettings, addresses: NodeAddresses) -> Self {
        let settings_path = folder.join(format!("{}.toml", settings.name));
        fs::write(&settings_path, fill_template(settings, addresses))
            .unwrap_or_else(|error| cannot_run(&error.to_string()));
        let log = File::create(folder.join(format!("{}.log", settings.name)))
            .unwrap_or_else(|error| cannot_run(&error.to_string()));
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("MUSTARDGATE_CONFIG", &settings_path)
            .env("MUSTARDGATE_MEMORY_MB", settings.memory_mb.to_string())
            .stdin(Stdio::null())
            .stdout(log)
            .spawn()
            .unwrap_or_else(|error| cannot_run(&format!("{PROGRAM}: {error}")));
        list_running(|running| running.push(child.id()));
        Self {
            child,
            settings_path,
            settings: settings.clone(),
            addresses,
        }
    }

    /// Waits until the node is ready.
    pub fn await_ready(&self, record: &Record) {
        let began_at = Instant::now();
        while began_at.elapsed() < READY_TIME {
            if matches!(self.readiness(), Ok(200)) {
                record.tell(&format!("{} is ready", self.settings.name));
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
        cannot_run(&format!("{} does not become ready", self.settings.name));
    }

    /// Asks whether the node is ready, as the platform does.
    pub fn readiness(&self) -> io::Result<u16> {
        let timeout = Duration::from_secs(1);
        let mut stream = TcpStream::connect_timeout(&self.addresses.readiness, timeout)?;
        stream.set_read_timeout(Some(timeout))?;
        let path = call_path("readiness");
        let request = format!("GET {path} HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n");
        stream.write_all(request.as_bytes())?;
        let head = MessageReader::new(stream).head()?;
        Ok(head.map_or(0, |head| head.status()))
    }

    /// Returns the resident memory of the process, in megabytes.
    pub fn resident_mb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kilobytes.unwrap_or_default() / 1_024
    }

    /// Writes the settings again with a comment more, as after a change that alters no value.
    pub fn touch_settings(&self) {
        let text = fill_template(&self.settings, self.addresses) + "# changed\n";
        fs::write(&self.settings_path, text).unwrap_or_else(|error| cannot_run(&error.to_string()));
    }

    /// Sends the process a signal by its name.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .args(["-s", name, &self.child.id().to_string()])
            .status();
        if !sent.is_ok_and(|status| status.success()) {
            cannot_run(&format!("signal {name} could not be sent"));
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // A process that has ended needs no signal.
        let _killed = self.child.kill();
        let _reaped = self.child.wait();
        list_running(|running| running.retain(|id| *id != self.child.id()));
    }
}

/// Fills `deploy/node.toml` in, with the bounds of the users' sheets for small deployments.
fn fill_template(settings: &NodeSettings, addresses: NodeAddresses) -> String {
    let seeds: Vec<String> = settings.seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    let NodeAddresses {
        callers,
        readiness,
        peers,
    } = addresses;
    format!(
        r#"[node]
name = "{name}"
domain = "{zone}"
region = "home"
max_descriptors = {descriptors}
link_mbps = 1000.0
first_start = {first}

[listen]
callers = "{callers}"
readiness = "{readiness}"
peers = "{peers}"
seeds = [{seeds}]

[log]
address = "{store}"

[bounds]
config_apply_ms = 2000
drain_ms = 2000
contact_ms = 3000
grace_s = 8
retry_budget_ratio = 0.2
retry_budget_extra = 54
budget_window_s = 10
lease_ms = 3000
load_window_s = 5
load_overage = 1.1
load_extra = 3
require_fencing = true
"#,
        name = settings.name,
        zone = settings.zone,
        descriptors = settings.max_descriptors,
        first = settings.is_first_start,
        seeds = seeds.join(", "),
        store = settings.store,
    )
}
