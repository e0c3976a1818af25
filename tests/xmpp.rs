//! Tests of a node process with the XMPP front, between minimal clients and servers on loopback.
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const DEADLINE: Duration = Duration::from_millis(1_500);
const HEADER: &str = "<?xml version='1.0'?><stream:stream to='chat.example' from='ann@kiln.example' \
    xmlns='jabber:client' xmlns:stream='http://etherx.jabber.org/streams' version='1.0'>";
const AUTH: &str = "<auth xmlns='urn:ietf:params:xml:ns:xmpp-sasl' mechanism='PLAIN'>AGFubgBhbm4=</auth>";
const BIND: &str = "<iq type='set' id='b1'><bind xmlns='urn:ietf:params:xml:ns:xmpp-bind'/></iq>";

/// How a test server behaves.
#[derive(Clone, Copy, PartialEq)]
enum Behavior {
    /// Negotiates and echoes messages.
    Normal,
    /// Accepts connections and sends nothing.
    Silent,
    /// Sends its stream features and then nothing.
    FeaturesOnly,
}

/// One connection as its server saw it: the chunks received, with their times, and when it ended.
#[derive(Default)]
struct SeenConnection {
    chunks: Vec<(Instant, Vec<u8>)>,
    ended: Option<Instant>,
}

impl SeenConnection {
    fn text(&self) -> String {
        self.chunks.iter().map(|(_, bytes)| String::from_utf8_lossy(bytes).into_owned()).collect()
    }
}

#[derive(Clone)]
struct Server {
    address: String,
    seen: Arc<Mutex<Vec<SeenConnection>>>,
}

impl Server {
    fn start(behavior: Behavior) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let seen = Arc::new(Mutex::new(Vec::new()));
        let server = Server { address, seen: seen.clone() };
        thread::spawn(move || {
            for stream in listener.incoming() {
                let index = {
                    let mut seen = seen.lock().unwrap();
                    seen.push(SeenConnection::default());
                    seen.len() - 1
                };
                let seen = seen.clone();
                thread::spawn(move || serve(stream.unwrap(), behavior, &seen, index));
            }
        });
        server
    }

    fn connections(&self) -> usize {
        self.seen.lock().unwrap().len()
    }
}

fn serve(mut stream: TcpStream, behavior: Behavior, seen: &Mutex<Vec<SeenConnection>>, index: usize) {
    let mut text = String::new();
    let (mut headers, mut buffer) = (0, [0u8; 4096]);
    loop {
        let read = stream.read(&mut buffer).unwrap_or(0);
        {
            let mut seen = seen.lock().unwrap();
            if read == 0 {
                seen[index].ended = Some(Instant::now());
                return;
            }
            seen[index].chunks.push((Instant::now(), buffer[..read].to_vec()));
        }
        text.push_str(&String::from_utf8_lossy(&buffer[..read]));
        while let Some(end) = text.find('>') {
            let tag: String = text.drain(..=end).collect();
            let mut reply = String::new();
            if tag.contains("<stream:stream") && behavior != Behavior::Silent {
                headers += 1;
                let mechanisms = "<mechanisms xmlns='urn:ietf:params:xml:ns:xmpp-sasl'><mechanism>PLAIN\
                                  </mechanism></mechanisms>";
                let bind = "<bind xmlns='urn:ietf:params:xml:ns:xmpp-bind'/>";
                let feature = if headers == 1 { mechanisms } else { bind };
                reply = format!(
                    "<?xml version='1.0'?><stream:stream xmlns='jabber:client' id='s{headers}' \
                     xmlns:stream='http://etherx.jabber.org/streams' from='chat.example' version='1.0'>\
                     <stream:features>{feature}</stream:features>"
                );
            } else if behavior == Behavior::Normal {
                if tag.ends_with("</auth>") {
                    reply = "<success xmlns='urn:ietf:params:xml:ns:xmpp-sasl'/>".into();
                } else if tag.ends_with("</iq>") {
                    reply = "<iq type='result' id='b1'><bind xmlns='urn:ietf:params:xml:ns:xmpp-bind'>\
                             <jid>ann@kiln.example/1</jid></bind></iq>"
                        .into();
                } else if tag.ends_with("</body>") {
                    reply = format!("<message from='bob@kiln.example'><body>re: {tag}</message>");
                } else if tag == "</stream:stream>" {
                    reply = tag;
                }
            }
            if stream.write_all(reply.as_bytes()).is_err() {
                return;
            }
        }
    }
}

struct Node {
    child: Child,
    address: String,
    folder: PathBuf,
    servers: Vec<Server>,
}

impl Node {
    fn start(name: &str, servers: &[Server]) -> Self {
        let folder = std::env::temp_dir().join(format!("hopmoor-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        std::fs::create_dir_all(folder.join("records")).unwrap();
        let operator = r#"{"name":"x","listen":"127.0.0.1:0","inventory":"inventory.yaml",
            "see_other_host":"127.0.0.1:5222","stanza_bytes":10000,"records":{"folder":"records"}}"#;
        std::fs::write(folder.join("xmpp.json"), operator).unwrap();
        let mut node = Node {
            child: Command::new("true").spawn().unwrap(),
            address: String::new(),
            folder,
            servers: servers.to_vec(),
        };
        node.child.wait().unwrap();
        node.write_inventory(&[]);
        let mut command = Command::new(env!("CARGO_BIN_EXE_hopmoor"));
        command.arg("serve").arg("--xmpp").arg(node.folder.join("xmpp.json"));
        node.child = command.stderr(Stdio::piped()).spawn().unwrap();
        let mut log = BufReader::new(node.child.stderr.take().unwrap());
        let mut line = String::new();
        while !line.contains("listening") {
            line.clear();
            assert!(log.read_line(&mut line).unwrap() > 0, "the node did not start");
        }
        let port = line.split("127.0.0.1:").nth(1).unwrap();
        let port: String = port.chars().take_while(char::is_ascii_digit).collect();
        node.address = format!("127.0.0.1:{port}");
        thread::spawn(move || std::io::copy(&mut log, &mut std::io::sink()));
        node
    }

    /// Writes the inventory; the servers with the given indexes are draining.
    fn write_inventory(&self, draining: &[usize]) {
        let mut text = String::from("members:\n");
        for (index, server) in self.servers.iter().enumerate() {
            let state = if draining.contains(&index) { "draining" } else { "serving" };
            text += &format!("  - {{name: s{index}, dial: '{}', state: {state}}}\n", server.address);
        }
        text += &format!(
            "services: [{{name: chat.example, deadline_ms: {}}}]\n\
             teams: [{{name: kiln, domains: [kiln.example]}}, {{name: small, domains: [small.example]}}]\n\
             contracts: [{{team: kiln, guarantee: 50}}, {{team: small, guarantee: 1, maximum: 1}}]\n",
            DEADLINE.as_millis()
        );
        std::fs::write(self.folder.join("inventory.yaml"), text).unwrap();
    }

    fn signal(&self, name: &str) {
        let status = Command::new("kill").arg(name).arg(self.child.id().to_string()).status().unwrap();
        assert!(status.success());
    }

    /// Kinds of the events in the node's records, read after a pause that lets the node write them.
    fn recorded_kinds(&self) -> Vec<&'static str> {
        thread::sleep(Duration::from_millis(400));
        let items = hopmoor_record::Folder::list(&self.folder.join("records")).unwrap().read();
        let kind = |item| match item {
            hopmoor_record::folder::Item::Record(record) => Some(record.event.name()),
            _ => None,
        };
        items.filter_map(kind).collect()
    }

    fn client(&self) -> Client {
        let stream = TcpStream::connect(&self.address).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        Client { stream, text: String::new() }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

struct Client {
    stream: TcpStream,
    text: String,
}

impl Client {
    fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).unwrap();
    }

    /// Reads until `wanted` has arrived; returns all up to its end.
    fn receive_until(&mut self, wanted: &str) -> String {
        let mut buffer = [0u8; 4096];
        loop {
            if let Some(at) = self.text.find(wanted) {
                return self.text.drain(..at + wanted.len()).collect();
            }
            match self.stream.read(&mut buffer) {
                Ok(read @ 1..) => self.text.push_str(&String::from_utf8_lossy(&buffer[..read])),
                end => panic!("{end:?} before {wanted}: {}", self.text),
            }
        }
    }

    /// Returns all that arrives until the node ends the connection.
    fn receive_rest(&mut self) -> String {
        let mut bytes = Vec::new();
        let _ = self.stream.read_to_end(&mut bytes);
        std::mem::take(&mut self.text) + &String::from_utf8_lossy(&bytes)
    }

    fn log_in(&mut self) {
        self.log_in_with(HEADER);
    }

    fn log_in_with(&mut self, header: &str) {
        self.send(header);
        self.receive_until("</stream:features>");
        self.send(AUTH);
        self.receive_until("<success xmlns='urn:ietf:params:xml:ns:xmpp-sasl'/>");
        self.send(header);
        self.receive_until("</stream:features>");
        self.send(BIND);
        self.receive_until("</iq>");
    }
}

fn count_errors(text: &str) -> usize {
    text.matches("<stream:error>").count()
}

#[test]
fn chat_is_relayed_both_ways_and_closed_gracefully() {
    let server = Server::start(Behavior::Normal);
    let node = Node::start("chat", std::slice::from_ref(&server));
    let mut client = node.client();
    client.log_in();
    for word in ["wet", "dry", "bisque"] {
        client.send(&format!("<message to='bob@kiln.example'><body>{word}</body></message>"));
        assert!(client.receive_until("</message>").contains(word));
    }
    client.send("</stream:stream>");
    assert!(client.receive_rest().ends_with("</stream:stream>"));
    assert_eq!(server.connections(), 1);
    let seen = server.seen.lock().unwrap()[0].text();
    assert!(seen.starts_with(HEADER) && seen.contains("<body>bisque</body>"), "{seen}");
    // The records are the same as with the platform front.
    let kinds: Vec<_> = node
        .recorded_kinds()
        .into_iter()
        .filter(|kind| ["asked", "answered", "flow"].contains(kind))
        .collect();
    assert_eq!(kinds, ["asked", "answered", "flow"]);
}

#[test]
fn silent_member_leads_to_one_stream_error_before_the_deadline() {
    let server = Server::start(Behavior::Silent);
    let node = Node::start("silent", std::slice::from_ref(&server));
    let mut client = node.client();
    let started = Instant::now();
    client.send(HEADER);
    let answer = client.receive_rest();
    assert!(started.elapsed() < DEADLINE, "{:?}", started.elapsed());
    assert!(answer.contains("<remote-connection-failed ") && count_errors(&answer) == 1, "{answer}");
    assert!(answer.ends_with("</stream:error></stream:stream>"), "{answer}");
    assert_eq!(server.connections(), 1, "only one attempt is made");
}

#[test]
fn stream_in_negotiation_is_moved_gracefully_off_a_draining_member() {
    let (draining_server, serving_server) =
        (Server::start(Behavior::FeaturesOnly), Server::start(Behavior::Normal));
    let node = Node::start("drain", &[draining_server.clone(), serving_server.clone()]);
    // Enough streams that each server gets at least one.
    let mut clients: Vec<Client> = (0..6).map(|_| node.client()).collect();
    for client in &mut clients {
        client.send(HEADER);
        client.receive_until("</stream:features>");
    }
    let streams_to_move = draining_server.connections();
    assert!(streams_to_move > 0 && serving_server.connections() > 0);
    node.write_inventory(&[0]);
    let drain_started = Instant::now();
    node.signal("-HUP");
    let mut moved = 0;
    for client in &mut clients {
        client.stream.set_read_timeout(Some(Duration::from_millis(600))).unwrap();
        let text = client.receive_rest();
        if text.contains("<see-other-host ") {
            assert_eq!(count_errors(&text), 1, "{text}");
            assert!(text.contains("127.0.0.1:5222") && text.ends_with("</stream:stream>"), "{text}");
            moved += 1;
            // What the client still sends reaches no member.
            let _ = client.stream.write_all(AUTH.as_bytes());
        }
    }
    assert_eq!(moved, streams_to_move);
    assert_eq!(node.recorded_kinds().iter().filter(|kind| **kind == "moved").count(), moved);
    thread::sleep(Duration::from_millis(300));
    for seen in draining_server.seen.lock().unwrap().iter() {
        assert!(
            seen.ended.is_some_and(|at| at < drain_started + Duration::from_millis(750)),
            "ended within 750 ms"
        );
        assert!(
            seen.text().ends_with("</stream:stream>") && !seen.text().contains("<auth"),
            "{}",
            seen.text()
        );
    }
    let mut client = node.client();
    client.log_in();
    assert_eq!(draining_server.connections(), streams_to_move, "a draining member gets no new streams");
}

#[test]
fn invalid_streams_get_the_rfc_errors_and_reach_no_member() {
    let server = Server::start(Behavior::Normal);
    let node = Node::start("bad", std::slice::from_ref(&server));
    for (input, condition) in [
        (HEADER.replace("chat.example", "news.example"), "host-unknown"),
        (HEADER.replace("kiln.example", "else.example"), "invalid-from"),
        (HEADER.replace("jabber:client", "jabber:server"), "invalid-namespace"),
        (HEADER.replace("<?xml version='1.0'?>", "<!DOCTYPE x>"), "restricted-xml"),
        ("GET / HTTP/1.1\r\n\r\n".to_owned(), "bad-format"),
    ] {
        let mut client = node.client();
        client.send(&input);
        let answer = client.receive_rest();
        assert!(
            answer.contains(&format!("<{condition} ")) && count_errors(&answer) == 1,
            "{condition}: {answer}"
        );
    }
    assert_eq!(server.connections(), 0);
    for (input, condition) in [
        ("<message></presence>".to_owned(), "not-well-formed"),
        (format!("<message><body>{}</body></message>", "x".repeat(20_000)), "policy-violation"),
    ] {
        let mut client = node.client();
        client.log_in();
        let _ = client.stream.write_all(input.as_bytes());
        let answer = client.receive_rest();
        assert!(
            answer.contains(&format!("<{condition} ")) && count_errors(&answer) == 1,
            "{condition}: {answer}"
        );
    }
    assert!(server.seen.lock().unwrap().iter().all(|seen| !seen.text().contains("<message>")));
}

/// A SIGHUP with an invalid inventory while a stream is open, twice in a row, changes nothing: the open
/// stream is kept and new ones are accepted.
#[test]
fn reload_of_an_invalid_inventory_changes_nothing() {
    let server = Server::start(Behavior::Normal);
    let node = Node::start("refused", std::slice::from_ref(&server));
    let mut kept = node.client();
    kept.log_in();
    for invalid in ["members: [{name: a, dial: nowhere}]", "members: 7"] {
        std::fs::write(node.folder.join("inventory.yaml"), invalid).unwrap();
        node.signal("-HUP");
        thread::sleep(Duration::from_millis(100));
    }
    node.client().log_in();
    kept.send("<message to='bob@kiln.example'><body>still</body></message>");
    assert!(kept.receive_until("</message>").contains("still"));
}

#[test]
fn only_the_team_over_its_maximum_is_rejected() {
    let server = Server::start(Behavior::Normal);
    let node = Node::start("contract", std::slice::from_ref(&server));
    let header = HEADER.replace("kiln.example", "small.example");
    let mut first = node.client();
    // The first stream is bound. If it were only negotiating, it would end at its own deadline, and the
    // second stream would get its place just before the deadline of its own.
    first.log_in_with(&header);
    let mut second = node.client();
    let started = Instant::now();
    second.send(&header);
    node.client().log_in();
    let answer = second.receive_rest();
    assert!(answer.contains("<resource-constraint ") && count_errors(&answer) == 1, "{answer}");
    assert!(started.elapsed() < DEADLINE);
    let _ = first.stream.shutdown(Shutdown::Both);
}

#[test]
fn sigterm_moves_all_streams_and_exits_with_success() {
    let server = Server::start(Behavior::Normal);
    let mut node = Node::start("term", std::slice::from_ref(&server));
    let mut client = node.client();
    client.log_in();
    node.signal("-TERM");
    let text = client.receive_rest();
    assert!(text.contains("<see-other-host ") && count_errors(&text) == 1, "{text}");
    assert!(node.child.wait().unwrap().success());
}
