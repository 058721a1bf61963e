//! Nodes of the system under test: their settings, processes and readiness.

use std::{
    collections::BTreeMap,
    fs,
    io::{self, ErrorKind},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use crate::{http::Connection, wire::wire};

/// Memory of a machine, in megabytes.
const MEMORY_MB: &str = "260";
/// Longest time until a node is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// Addresses of a node.
#[derive(Clone, Copy, Debug)]
pub struct NodeAddresses {
    /// Listener for clients.
    pub callers: SocketAddr,
    /// Listener for checks of readiness.
    pub readiness: SocketAddr,
    /// Listener for other nodes.
    pub peers: SocketAddr,
}

impl NodeAddresses {
    /// Returns free addresses on loopback.
    ///
    /// # Errors
    /// The error if no port can be bound.
    pub fn free() -> io::Result<Self> {
        let listeners = [(); 3].map(|()| TcpListener::bind("127.0.0.1:0"));
        let [callers, readiness, peers] = listeners;
        Ok(Self {
            callers: callers?.local_addr()?,
            readiness: readiness?.local_addr()?,
            peers: peers?.local_addr()?,
        })
    }
}

/// A process of the system, which ends with this.
#[derive(Debug)]
pub struct Node {
    child: Child,
    /// Its addresses.
    pub addresses: NodeAddresses,
}

/// What the nodes of a deployment have in common.
#[derive(Debug)]
pub struct Deployment {
    /// Folder of the repository.
    pub root: PathBuf,
    /// Folder for settings and logs.
    pub scratch: PathBuf,
    /// Address of the store.
    pub store: SocketAddr,
    /// Addresses of the nodes.
    pub nodes: Vec<NodeAddresses>,
}

impl Deployment {
    /// Starts a node with the command of the deploy file.
    ///
    /// # Errors
    /// The error if the settings cannot be written or the program cannot be started.
    pub fn start(&self, index: usize) -> io::Result<Node> {
        let settings = self.scratch.join(format!("node-{index}.toml"));
        let template = fs::read_to_string(self.root.join("deploy/node.toml"))?;
        fs::write(&settings, fill_in(&template, &self.values(index)))?;
        let log = fs::File::create(self.scratch.join(format!("node-{index}.log")))?;
        let child = Command::new(self.root.join(deployed_program(&self.root)?))
            .current_dir(&self.root)
            .env("MUSTARDGATE_CONFIG", &settings)
            .env("MUSTARDGATE_MEMORY_MB", MEMORY_MB)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Node {
            child,
            addresses: self.nodes[index],
        })
    }

    fn values(&self, index: usize) -> BTreeMap<String, String> {
        let own = self.nodes[index];
        let seeds: Vec<String> = self.nodes.iter().map(|node| format!("\"{}\"", node.peers)).collect();
        let text = |value: &dyn std::fmt::Display| format!("\"{value}\"");
        let values = [
            ("node_name", format!("\"node-{index}\"")),
            ("zone", text(&"east")),
            ("region", text(&"home")),
            ("limits.max_fds", "4100".to_owned()),
            ("limits.link_mbps", "1000.0".to_owned()),
            ("bootstrap", "true".to_owned()),
            ("listen_addrs.front", text(&own.callers)),
            ("listen_addrs.ready", text(&own.readiness)),
            ("listen_addrs.control", text(&own.peers)),
            ("seeds", format!("[{}]", seeds.join(", "))),
            ("provider.address", text(&self.store)),
            ("bounds.config_apply_ms", "2000".to_owned()),
            ("bounds.drain_ms", "2000".to_owned()),
            ("bounds.contact_ms", "3000".to_owned()),
            ("bounds.grace_s", "8".to_owned()),
            ("bounds.retry_budget_ratio", "0.2".to_owned()),
            ("bounds.budget_extra_tries", "54".to_owned()),
            ("bounds.budget_window_s", "10".to_owned()),
            ("bounds.lease_ms", "3000".to_owned()),
            ("bounds.ceiling_window_s", "5".to_owned()),
            ("bounds.ceiling_overage", "1.1".to_owned()),
            ("bounds.require_fencing", "true".to_owned()),
        ];
        values.map(|(name, value)| (name.to_owned(), value)).into()
    }
}

impl Node {
    /// Waits until the node says that it is ready.
    ///
    /// # Errors
    /// The error if it does not say so in time.
    pub fn wait_ready(&self) -> io::Result<()> {
        let ends_at = Instant::now() + READY_TIMEOUT;
        while Instant::now() < ends_at {
            if is_ready(self.addresses.readiness).unwrap_or(false) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(ErrorKind::TimedOut.into())
    }

    /// Ends the process at once.
    ///
    /// # Errors
    /// The error if it cannot be ended.
    pub fn kill(&mut self) -> io::Result<()> {
        self.child.kill()?;
        self.child.wait().map(|_status| ())
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // It may have ended already.
        let _ended = self.kill();
    }
}

fn is_ready(address: SocketAddr) -> io::Result<bool> {
    let mut connection = Connection::new(TcpStream::connect(address)?)?;
    connection.write(format!("GET {} HTTP/1.1\r\nHost: node\r\n\r\n", wire("readiness")).as_bytes())?;
    let head = connection.read_head()?;
    Ok(head.is_some_and(|head| head.word(1) == "200"))
}

/// Returns the program that the deploy file runs.
fn deployed_program(root: &Path) -> io::Result<String> {
    let text = fs::read_to_string(root.join("deploy/system.toml"))?;
    let run = text.lines().find_map(|line| line.strip_prefix("run = "));
    let program = run.map(|run| run.trim_matches('"').to_owned());
    program.ok_or_else(|| ErrorKind::NotFound.into())
}

/// Fills the template in as the platform does. Sections stand for fields that a small deployment does not have.
fn fill_in(template: &str, values: &BTreeMap<String, String>) -> String {
    let mut filled = String::new();
    let mut is_section = false;
    for line in template.lines() {
        if line.starts_with("{{#") || line.starts_with("{{/") {
            is_section = line.starts_with("{{#");
        } else if !is_section {
            let known = values.iter().fold(line.to_owned(), |line, (name, value)| {
                line.replace(&format!("{{{{{name}|json}}}}"), value)
            });
            filled.push_str(&known);
            filled.push('\n');
        }
    }
    filled
}
