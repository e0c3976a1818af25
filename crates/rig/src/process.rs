//! Starts a node's process with its files, sends it signals, and reads its addresses from its log.

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::sync::mpsc;

/// How long a process may take to log its addresses when it starts, and to exit after SIGTERM.
const START_OR_EXIT_TIMEOUT: Duration = Duration::from_secs(20);
/// How long a call of the admin address may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Parameters of a process to start.
#[derive(Clone, Debug)]
pub struct ProcessOptions {
    /// Path of the `hopmoor` program.
    pub program: PathBuf,
    /// Folder for the process's configuration and log; no other process uses it.
    pub folder: PathBuf,
    /// Name of the node.
    pub name: String,
    /// Zone of the node.
    pub zone: String,
    /// URL of the discovery service.
    pub discovery: String,
    /// Address to listen on for the fleet; with port 0 the system picks the port.
    pub fleet: SocketAddr,
    /// Address at which the other nodes reach the fleet port, which is the relay's.
    pub advertise: SocketAddr,
    /// Fleet addresses of seed nodes.
    pub seeds: Vec<SocketAddr>,
    /// Path of the key file.
    pub keys: PathBuf,
    /// Names of the voters on drains. If empty, the node drains without a vote.
    pub voters: Vec<String>,
    /// Folder for the node's Raft log and vote.
    pub votes: PathBuf,
}

/// A running process, which is killed when this is dropped.
pub struct Process {
    child: Child,
    id: Pid,
    /// Address of the operators' interface.
    pub admin: SocketAddr,
    /// Address at which clients connect.
    pub clients: SocketAddr,
    /// Address on which it listens for the fleet.
    pub fleet: SocketAddr,
    /// Address at which the other nodes reach its fleet port, which is the relay's.
    pub advertise: SocketAddr,
    log: PathBuf,
}

fn node_config(options: &ProcessOptions) -> Value {
    json!({
        "name": options.name, "listen": "127.0.0.1:0", "discovery": options.discovery, "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "known": {"seq": 0, "whole": true, "hosts": []},
        "settings": {"profiles": [{"name": "chat", "effect": "free"}], "tenants": [{"name": "acme"}],
            "zones": ["a"], "discovery": "on_request", "caps": {"connectTimeoutMs": 250}},
    })
}

impl Process {
    /// Starts a process and waits until it has logged its addresses.
    ///
    /// # Errors
    /// If the process can't be started, if it ends before it has logged its addresses, or if it does not log
    /// them within 20 s.
    pub async fn start(options: &ProcessOptions) -> io::Result<Process> {
        std::fs::create_dir_all(&options.folder)?;
        let mut operator = json!({
            "config": "node.json", "admin": "127.0.0.1:0",
            "fleet": {"listen": options.fleet.to_string(), "advertise": options.advertise.to_string(),
                "seeds": options.seeds.iter().map(SocketAddr::to_string).collect::<Vec<_>>(),
                "keys": options.keys, "zone": options.zone},
        });
        if !options.voters.is_empty() {
            operator["fleet"]["agree"] = json!({"voters": options.voters, "folder": options.votes});
        }
        std::fs::write(options.folder.join("node.json"), node_config(options).to_string())?;
        std::fs::write(options.folder.join("operator.json"), operator.to_string())?;
        let mut command = Command::new(&options.program);
        for name in ["NODE_CONFIG", "NODE_ADMIN", "NODE_PASSED_SOCKET", "HOPMOOR_LOG_FORMAT"] {
            command.env_remove(name);
        }
        command
            .args(["serve", "--log-format", "json", "--operator"])
            .arg(options.folder.join("operator.json"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true);
        let mut child = command.spawn()?;
        let id = child.id().and_then(|id| Pid::from_raw(id as i32)).ok_or(io::ErrorKind::NotFound)?;
        let stderr = child.stderr.take().ok_or(io::ErrorKind::NotFound)?;
        let (report_tx, mut report_rx) = mpsc::unbounded_channel();
        let log = options.folder.join("log");
        let file = log.clone();
        tokio::task::spawn_local(async move {
            let mut lines = BufReader::new(stderr).lines();
            let mut log_file = std::fs::OpenOptions::new().create(true).append(true).open(file).ok();
            while let Ok(Some(line)) = lines.next_line().await {
                use std::io::Write as _;
                if let Some(log_file) = &mut log_file {
                    let _ = writeln!(log_file, "{line}");
                }
                let Ok(line) = serde_json::from_str::<Value>(&line) else { continue };
                if let (Some(message), Some(address)) = (line["msg"].as_str(), line["address"].as_str())
                    && let Ok(address) = address.parse::<SocketAddr>()
                {
                    let _ = report_tx.send((message.to_owned(), address));
                }
            }
        });
        let (mut clients, mut admin, mut fleet) = (None, None, None);
        let wait_for_addresses = async {
            while clients.is_none() || admin.is_none() || fleet.is_none() {
                let Some((message, address)) = report_rx.recv().await else {
                    let log = std::fs::read_to_string(&log).unwrap_or_default();
                    return Err(io::Error::other(format!(
                        "{} ended before it logged its addresses: {log}",
                        options.name
                    )));
                };
                match message.as_str() {
                    "listening" => clients = Some(address),
                    "operators may call" => admin = Some(address),
                    "in a fleet" => fleet = Some(address),
                    _ => {}
                }
            }
            Ok(())
        };
        tokio::time::timeout(START_OR_EXIT_TIMEOUT, wait_for_addresses).await??;
        let missing = || io::Error::from(io::ErrorKind::NotFound);
        Ok(Process {
            child,
            id,
            admin: admin.ok_or_else(missing)?,
            clients: clients.ok_or_else(missing)?,
            fleet: fleet.ok_or_else(missing)?,
            advertise: options.advertise,
            log,
        })
    }

    /// Returns the process id.
    pub fn id(&self) -> i32 {
        self.id.as_raw_nonzero().get()
    }

    /// Returns what the process has logged so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Returns whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends the process a signal.
    pub fn signal(&self, signal: Signal) {
        let _ = kill_process(self.id, signal);
    }

    /// Kills the process and waits until it has ended.
    pub async fn kill(mut self) {
        let _ = self.child.kill().await;
    }

    /// Sends SIGTERM and waits until the process has ended; kills it if it still runs after 20 s.
    pub async fn term(mut self) {
        self.signal(Signal::TERM);
        if tokio::time::timeout(START_OR_EXIT_TIMEOUT, self.child.wait()).await.is_err() {
            let _ = self.child.kill().await;
        }
    }
}

/// Sends an HTTP request to a node's admin address and returns the status and the body of the response.
///
/// # Errors
/// If the node does not answer within 1.5 s, or its answer is not HTTP.
pub async fn call_admin(admin: SocketAddr, method: &str, path: &str) -> io::Result<(u16, String)> {
    let request = async {
        let mut stream = TcpStream::connect(admin).await?;
        stream.write_all(format!("{method} {path} HTTP/1.1\r\nHost: n\r\n\r\n").as_bytes()).await?;
        let mut response = String::new();
        stream.read_to_string(&mut response).await?;
        let invalid = || io::Error::from(io::ErrorKind::InvalidData);
        let (head, body) = response.split_once("\r\n\r\n").ok_or_else(invalid)?;
        let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).ok_or_else(invalid)?;
        Ok((status, body.to_owned()))
    };
    tokio::time::timeout(CALL_TIMEOUT, request).await?
}

/// Returns the path of the `hopmoor` program: the value of the environment variable `HOPMOOR`, or else the
/// program in the folder of the current executable.
pub fn program() -> PathBuf {
    if let Some(from_env) = std::env::var_os("HOPMOOR") {
        return from_env.into();
    }
    let next_to = |exe: PathBuf| exe.parent().map(|folder| folder.join("hopmoor"));
    std::env::current_exe().ok().and_then(next_to).unwrap_or_else(|| Path::new("hopmoor").to_owned())
}
