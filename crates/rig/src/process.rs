//! A node's process: its files, its start, its signals, what it tells of its addresses.

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

/// A process that has not told its addresses by then has not started.
const STARTS: Duration = Duration::from_secs(20);
/// A call that is not answered by then finds nobody.
const CALL: Duration = Duration::from_millis(1_500);

/// How a process is started.
#[derive(Clone, Debug)]
pub struct Start {
    /// The program.
    pub program: PathBuf,
    /// A folder of the process's own.
    pub folder: PathBuf,
    /// The node's name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Where discovery answers.
    pub discovery: String,
    /// Where its fleet port is bound; the system picks the port.
    pub fleet: SocketAddr,
    /// Where the others reach that.
    pub advertise: SocketAddr,
    /// Where others may be found.
    pub seeds: Vec<SocketAddr>,
    /// The file of keys.
    pub keys: PathBuf,
    /// Who votes on drains; none: nobody is asked.
    pub voters: Vec<String>,
    /// Where it keeps its log and vote.
    pub votes: PathBuf,
}

/// A process that runs; it is killed when this is dropped.
pub struct Process {
    child: Child,
    id: Pid,
    /// Where operators call it.
    pub admin: SocketAddr,
    /// Where clients connect.
    pub clients: SocketAddr,
    /// Where its fleet port is.
    pub fleet: SocketAddr,
    /// Where the others reach that.
    pub advertise: SocketAddr,
    log: PathBuf,
}

fn config(start: &Start) -> Value {
    json!({
        "name": start.name, "listen": "127.0.0.1:0", "discovery": start.discovery, "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "known": {"seq": 0, "whole": true, "hosts": []},
        "settings": {"profiles": [{"name": "chat", "effect": "free"}], "tenants": [{"name": "acme"}],
            "zones": ["a"], "discovery": "on_request", "caps": {"connectTimeoutMs": 250}},
    })
}

impl Process {
    /// Starts a process and waits until it has told its addresses.
    ///
    /// # Errors
    /// If it can't be started, or ends or says nothing.
    pub async fn start(start: &Start) -> io::Result<Process> {
        std::fs::create_dir_all(&start.folder)?;
        let mut operator = json!({
            "config": "node.json", "admin": "127.0.0.1:0",
            "fleet": {"listen": start.fleet.to_string(), "advertise": start.advertise.to_string(),
                "seeds": start.seeds.iter().map(SocketAddr::to_string).collect::<Vec<_>>(),
                "keys": start.keys, "zone": start.zone},
        });
        if !start.voters.is_empty() {
            operator["fleet"]["agree"] = json!({"voters": start.voters, "folder": start.votes});
        }
        std::fs::write(start.folder.join("node.json"), config(start).to_string())?;
        std::fs::write(start.folder.join("operator.json"), operator.to_string())?;
        let mut command = Command::new(&start.program);
        for name in ["NODE_CONFIG", "NODE_ADMIN", "NODE_PASSED_SOCKET", "HOPMOOR_LOG_FORMAT"] {
            command.env_remove(name);
        }
        command
            .args(["serve", "--log-format", "json", "--operator"])
            .arg(start.folder.join("operator.json"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true);
        let mut child = command.spawn()?;
        let id = child.id().and_then(|id| Pid::from_raw(id as i32)).ok_or(io::ErrorKind::NotFound)?;
        let stderr = child.stderr.take().ok_or(io::ErrorKind::NotFound)?;
        let (tell, mut told) = mpsc::unbounded_channel();
        let log = start.folder.join("log");
        let file = log.clone();
        tokio::task::spawn_local(async move {
            let mut lines = BufReader::new(stderr).lines();
            let mut kept = std::fs::OpenOptions::new().create(true).append(true).open(file).ok();
            while let Ok(Some(line)) = lines.next_line().await {
                use std::io::Write as _;
                if let Some(kept) = &mut kept {
                    let _ = writeln!(kept, "{line}");
                }
                let Ok(line) = serde_json::from_str::<Value>(&line) else { continue };
                if let (Some(what), Some(at)) = (line["msg"].as_str(), line["address"].as_str())
                    && let Ok(at) = at.parse::<SocketAddr>()
                {
                    let _ = tell.send((what.to_owned(), at));
                }
            }
        });
        let (mut clients, mut admin, mut fleet) = (None, None, None);
        let all = async {
            while clients.is_none() || admin.is_none() || fleet.is_none() {
                let Some((what, at)) = told.recv().await else {
                    let log = std::fs::read_to_string(&log).unwrap_or_default();
                    return Err(io::Error::other(format!("{} ended at its start: {log}", start.name)));
                };
                match what.as_str() {
                    "listening" => clients = Some(at),
                    "operators may call" => admin = Some(at),
                    "in a fleet" => fleet = Some(at),
                    _ => {}
                }
            }
            Ok(())
        };
        tokio::time::timeout(STARTS, all).await??;
        let missing = || io::Error::from(io::ErrorKind::NotFound);
        Ok(Process {
            child,
            id,
            admin: admin.ok_or_else(missing)?,
            clients: clients.ok_or_else(missing)?,
            fleet: fleet.ok_or_else(missing)?,
            advertise: start.advertise,
            log,
        })
    }

    /// Its process's id.
    pub fn id(&self) -> i32 {
        self.id.as_raw_nonzero().get()
    }

    /// What it has logged so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Whether it still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends it a signal.
    pub fn signal(&self, signal: Signal) {
        let _ = kill_process(self.id, signal);
    }

    /// Kills it and waits for its end.
    pub async fn kill(mut self) {
        let _ = self.child.kill().await;
    }

    /// Tells it to end, and waits for that.
    pub async fn term(mut self) {
        self.signal(Signal::TERM);
        if tokio::time::timeout(STARTS, self.child.wait()).await.is_err() {
            let _ = self.child.kill().await;
        }
    }
}

/// Calls a node's operators' place: the status and the body.
///
/// # Errors
/// If nobody answers in time, or not in HTTP.
pub async fn call(admin: SocketAddr, method: &str, place: &str) -> io::Result<(u16, String)> {
    let asked = async {
        let mut stream = TcpStream::connect(admin).await?;
        stream.write_all(format!("{method} {place} HTTP/1.1\r\nHost: n\r\n\r\n").as_bytes()).await?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await?;
        let bad = || io::Error::from(io::ErrorKind::InvalidData);
        let (head, body) = answer.split_once("\r\n\r\n").ok_or_else(bad)?;
        let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).ok_or_else(bad)?;
        Ok((status, body.to_owned()))
    };
    tokio::time::timeout(CALL, asked).await?
}

/// The program that stands beside this one, or that `HOPMOOR` names.
pub fn program() -> PathBuf {
    if let Some(named) = std::env::var_os("HOPMOOR") {
        return named.into();
    }
    let beside = |exe: PathBuf| exe.parent().map(|folder| folder.join("hopmoor"));
    std::env::current_exe().ok().and_then(beside).unwrap_or_else(|| Path::new("hopmoor").to_owned())
}
