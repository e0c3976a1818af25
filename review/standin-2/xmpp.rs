//! A small XMPP server and client (RFC 6120: SASL PLAIN, then resource binding), and a node with an operator's file.

use crate::tools::*;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const SERVICE: &str = "chat.oconee.example";
const SASL: &str = "urn:ietf:params:xml:ns:xmpp-sasl";
const BIND: &str = "urn:ietf:params:xml:ns:xmpp-bind";

/// Reads text up to marks.
pub struct Marks {
    stream: TcpStream,
    text: String,
}

impl Marks {
    pub fn new(stream: TcpStream) -> Marks {
        Marks { stream, text: String::new() }
    }

    /// Reads until the first of the marks, and returns the text with it; `None` at the end of the connection or if
    /// `wait` is over.
    pub fn until(&mut self, marks: &[&str], wait: Duration) -> Option<String> {
        let end = Instant::now() + wait;
        loop {
            let found = marks.iter().filter_map(|mark| self.text.find(mark).map(|at| at + mark.len())).min();
            if let Some(at) = found {
                return Some(self.text.drain(..at).collect());
            }
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return None;
            }
            let _ = self.stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
            let mut buffer = [0u8; 4096];
            match self.stream.read(&mut buffer) {
                Ok(0) => return None,
                Ok(read) => self.text.push_str(&String::from_utf8_lossy(&buffer[..read])),
                Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                }
                Err(_) => return None,
            }
        }
    }
}

fn header(direction: &str) -> String {
    format!(
        "<?xml version='1.0'?><stream:stream xmlns='jabber:client' \
         xmlns:stream='http://etherx.jabber.org/streams' {direction} version='1.0'>"
    )
}

/// A server. It notes when a client's stream begins.
#[derive(Clone)]
pub struct Server {
    pub name: String,
    pub address: String,
    pub streams: Arc<Mutex<Vec<(f64, String)>>>,
    record: Arc<Record>,
}

impl Server {
    pub fn start(name: &str, record: &Arc<Record>) -> io::Result<Server> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let server = Server {
            name: name.into(),
            address: listener.local_addr()?.to_string(),
            streams: Arc::default(),
            record: record.clone(),
        };
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = accepting.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        Ok(server)
    }

    pub fn port(&self) -> &str {
        self.address.rsplit(':').next().unwrap_or("")
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut writer = stream.try_clone().ok()?;
        let mut reader = Marks::new(stream);
        let long = Duration::from_secs(100);
        let head = header(&format!("from='{SERVICE}' id='s1'"));
        let first = reader.until(&["version='1.0'>"], long)?;
        let who = first.split("from='").nth(1)?.split('\'').next()?.to_owned();
        let at = self.record.line(&format!("{}: stream of {who} begins", self.name));
        lock(&self.streams).push((at, who.clone()));
        let features = format!("<mechanisms xmlns='{SASL}'><mechanism>PLAIN</mechanism></mechanisms>");
        write!(writer, "{head}<stream:features>{features}</stream:features>").ok()?;
        reader.until(&["</auth>"], long)?;
        write!(writer, "<success xmlns='{SASL}'/>").ok()?;
        self.record.line(&format!("{}: got auth of {who}, answered success", self.name));
        reader.until(&["version='1.0'>"], long)?;
        write!(writer, "{head}<stream:features><bind xmlns='{BIND}'/></stream:features>").ok()?;
        reader.until(&["</iq>"], long)?;
        write!(writer, "<iq type='result' id='b'><bind xmlns='{BIND}'><jid>{who}/r</jid></bind></iq>")
            .ok()?;
        self.record.line(&format!("{}: {who} is bound", self.name));
        loop {
            let got = reader.until(&["</message>", "</stream:stream>"], long)?;
            if got.ends_with("</stream:stream>") {
                writer.write_all(b"</stream:stream>").ok()?;
                return Some(());
            }
            writer.write_all(got.as_bytes()).ok()?;
        }
    }
}

/// What became of a client's negotiation.
pub enum Negotiated {
    /// Bound; the connection stands.
    Bound(Marks, TcpStream),
    /// One stream error, or the end of the connection.
    Ended,
}

/// Opens a stream and negotiates it.
pub fn negotiate(address: &str, who: &str, record: &Record) -> Result<Negotiated, Trouble> {
    let stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = Marks::new(stream);
    let head = header(&format!("to='{SERVICE}' from='{who}@kilns.oconee.example'"));
    record.line(&format!("client {who}: opens a stream"));
    writer.write_all(head.as_bytes())?;
    let bind = format!("<iq type='set' id='b'><bind xmlns='{BIND}'/></iq>");
    let auth = format!("<auth xmlns='{SASL}' mechanism='PLAIN'>AGEAYg==</auth>");
    let success = format!("<success xmlns='{SASL}'/>");
    let steps =
        [("</stream:features>", &auth), (&*success, &head), ("</stream:features>", &bind), ("</iq>", &head)];
    for (n, (mark, next)) in steps.iter().enumerate() {
        let got = reader.until(&[mark, "</stream:error>"], Duration::from_secs(10));
        match got {
            Some(text) if !text.ends_with("</stream:error>") => {}
            other => {
                let text = other.unwrap_or_else(|| "end of the connection".into());
                record.line(&format!("client {who}: {text}"));
                return Ok(Negotiated::Ended);
            }
        }
        let answered = mark.trim_matches(['<', '>', '/']).split(' ').next().unwrap_or("");
        let sends = next.trim_start_matches("<?xml version='1.0'?>").split(' ').next().unwrap_or("");
        let sends = if n < 3 { format!(", sends {sends}>") } else { String::new() };
        record.line(&format!("client {who}: got {answered}{sends}"));
        if n < 3 {
            if writer.write_all(next.as_bytes()).is_err() {
                record.line(&format!("client {who}: can't write any more"));
            }
        }
    }
    record.line(&format!("client {who}: bound"));
    Ok(Negotiated::Bound(reader, writer))
}

/// A node with an operator's file: XMPP, with an inventory.
pub struct XmppNode {
    pub child: Child,
    pub listen: String,
    pub admin: String,
    inventory: PathBuf,
}

impl XmppNode {
    pub fn start(root: &Path, folder: &Path, members: &str, record: &Record) -> Result<XmppNode, Trouble> {
        let (listen, admin) = (format!("127.0.0.1:{}", free_port()?), format!("127.0.0.1:{}", free_port()?));
        let inventory = folder.join("inventory.yaml");
        write_inventory(&inventory, members)?;
        let file = folder.join("operator.json");
        std::fs::write(
            &file,
            format!(
                r#"{{"name":"xmpp-1","listen":"{listen}","admin":"{admin}","inventory":"inventory.yaml","see_other_host":"{listen}","connect_timeout_ms":250}}"#
            ),
        )?;
        let log = File::create(folder.join("node.log"))?;
        let command = format!("{} --operator '{}'", run_command(root)?, file.display());
        let child = Command::new("/bin/sh")
            .args(["-c", &command])
            .current_dir(root)
            .env("TMPDIR", folder)
            .env_remove("NODE_CONFIG")
            .env_remove("NODE_ADMIN")
            .env_remove("NODE_PASSED_SOCKET")
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let node = XmppNode { child, listen, admin, inventory };
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if call(&node.admin, "GET", "/-/ready").is_ok_and(|status| status == 200) {
                record.line(&format!("node ready, process {}", node.child.id()));
                return Ok(node);
            }
            sleep(50);
        }
        Err("the node did not get ready".into())
    }

    /// Replaces the inventory and sends SIGHUP.
    pub fn reload(&self, members: &str) -> Result<(), Trouble> {
        write_inventory(&self.inventory, members)?;
        Ok(signal(&self.child, "HUP")?)
    }

    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for XmppNode {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn write_inventory(file: &Path, members: &str) -> io::Result<()> {
    let text = format!(
        "members:\n{members}services:\n  - {{name: {SERVICE}, deadline_ms: 5000, worth: 1}}\nteams:\n  \
         - {{name: kiln-rooms, domains: [kilns.oconee.example]}}\n"
    );
    let new = file.with_extension("new");
    std::fs::write(&new, text)?;
    std::fs::rename(new, file)
}
