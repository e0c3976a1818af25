//! The XMPP front as a process, between small clients and servers written here, on loopback.
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

#[derive(Clone, Copy, PartialEq)]
enum Manner {
    /// Negotiates and echoes messages.
    Sound,
    /// Accepts and stays silent.
    Silent,
    /// Sends its features and then nothing.
    Half,
}

/// One connection as the server saw it: what came, and when.
#[derive(Default)]
struct Seen {
    bytes: Vec<(Instant, Vec<u8>)>,
    ended: Option<Instant>,
}

impl Seen {
    fn text(&self) -> String {
        self.bytes.iter().map(|(_, bytes)| String::from_utf8_lossy(bytes).into_owned()).collect()
    }
}

#[derive(Clone)]
struct Server {
    address: String,
    seen: Arc<Mutex<Vec<Seen>>>,
}

impl Server {
    fn start(manner: Manner) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let seen = Arc::new(Mutex::new(Vec::new()));
        let server = Server { address, seen: seen.clone() };
        thread::spawn(move || {
            for stream in listener.incoming() {
                let at = {
                    let mut seen = seen.lock().unwrap();
                    seen.push(Seen::default());
                    seen.len() - 1
                };
                let seen = seen.clone();
                thread::spawn(move || answer(stream.unwrap(), manner, &seen, at));
            }
        });
        server
    }

    fn connections(&self) -> usize {
        self.seen.lock().unwrap().len()
    }
}

fn answer(mut stream: TcpStream, manner: Manner, seen: &Mutex<Vec<Seen>>, at: usize) {
    let mut text = String::new();
    let (mut headers, mut buffer) = (0, [0u8; 4096]);
    loop {
        let read = stream.read(&mut buffer).unwrap_or(0);
        {
            let mut seen = seen.lock().unwrap();
            if read == 0 {
                seen[at].ended = Some(Instant::now());
                return;
            }
            seen[at].bytes.push((Instant::now(), buffer[..read].to_vec()));
        }
        text.push_str(&String::from_utf8_lossy(&buffer[..read]));
        while let Some(end) = text.find('>') {
            let tag: String = text.drain(..=end).collect();
            let mut reply = String::new();
            if tag.contains("<stream:stream") && manner != Manner::Silent {
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
            } else if manner == Manner::Sound {
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
        node.list(&[]);
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

    /// Writes the inventory, with these members draining.
    fn list(&self, draining: &[usize]) {
        let mut text = String::from("members:\n");
        for (at, server) in self.servers.iter().enumerate() {
            let state = if draining.contains(&at) { "draining" } else { "serving" };
            text += &format!("  - {{name: s{at}, dial: '{}', state: {state}}}\n", server.address);
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
        let done = Command::new("kill").arg(name).arg(self.child.id().to_string()).status().unwrap();
        assert!(done.success());
    }

    /// Kinds of what it has recorded, once that is written.
    fn recorded(&self) -> Vec<&'static str> {
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
    fn say(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).unwrap();
    }

    /// Reads until this has come; takes everything up to it.
    fn hear(&mut self, wanted: &str) -> String {
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

    /// All that comes until the node ends the connection.
    fn rest(&mut self) -> String {
        let mut bytes = Vec::new();
        let _ = self.stream.read_to_end(&mut bytes);
        std::mem::take(&mut self.text) + &String::from_utf8_lossy(&bytes)
    }

    fn log_in(&mut self) {
        self.log_in_by(HEADER);
    }

    fn log_in_by(&mut self, header: &str) {
        self.say(header);
        self.hear("</stream:features>");
        self.say(AUTH);
        self.hear("<success xmlns='urn:ietf:params:xml:ns:xmpp-sasl'/>");
        self.say(header);
        self.hear("</stream:features>");
        self.say(BIND);
        self.hear("</iq>");
    }
}

fn errors(text: &str) -> usize {
    text.matches("<stream:error>").count()
}

#[test]
fn ordinary_chat_passes_both_ways_and_ends_in_good_order() {
    let server = Server::start(Manner::Sound);
    let node = Node::start("chat", std::slice::from_ref(&server));
    let mut client = node.client();
    client.log_in();
    for word in ["wet", "dry", "bisque"] {
        client.say(&format!("<message to='bob@kiln.example'><body>{word}</body></message>"));
        assert!(client.hear("</message>").contains(word));
    }
    client.say("</stream:stream>");
    assert!(client.rest().ends_with("</stream:stream>"));
    assert_eq!(server.connections(), 1);
    let seen = server.seen.lock().unwrap()[0].text();
    assert!(seen.starts_with(HEADER) && seen.contains("<body>bisque</body>"), "{seen}");
    // The same records as of the other front.
    let story: Vec<_> =
        node.recorded().into_iter().filter(|kind| ["asked", "answered", "flow"].contains(kind)).collect();
    assert_eq!(story, ["asked", "answered", "flow"]);
}

#[test]
fn a_member_that_accepts_and_stays_silent_costs_one_error_in_time() {
    let server = Server::start(Manner::Silent);
    let node = Node::start("silent", std::slice::from_ref(&server));
    let mut client = node.client();
    let asked = Instant::now();
    client.say(HEADER);
    let answer = client.rest();
    assert!(asked.elapsed() < DEADLINE, "{:?}", asked.elapsed());
    assert!(answer.contains("<remote-connection-failed ") && errors(&answer) == 1, "{answer}");
    assert!(answer.ends_with("</stream:error></stream:stream>"), "{answer}");
    assert_eq!(server.connections(), 1, "at most one attempt out");
}

#[test]
fn a_half_negotiated_stream_leaves_a_member_that_drains_in_good_order() {
    let (drains, stays) = (Server::start(Manner::Half), Server::start(Manner::Sound));
    let node = Node::start("drain", &[drains.clone(), stays.clone()]);
    // Of some streams one is with the member that will drain.
    let mut clients: Vec<Client> = (0..6).map(|_| node.client()).collect();
    for client in &mut clients {
        client.say(HEADER);
        client.hear("</stream:features>");
    }
    let begun = drains.connections();
    assert!(begun > 0 && stays.connections() > 0);
    node.list(&[0]);
    let told = Instant::now();
    node.signal("-HUP");
    let mut moved = 0;
    for client in &mut clients {
        client.stream.set_read_timeout(Some(Duration::from_millis(600))).unwrap();
        let word = client.rest();
        if word.contains("<see-other-host ") {
            assert_eq!(errors(&word), 1, "{word}");
            assert!(word.contains("127.0.0.1:5222") && word.ends_with("</stream:stream>"), "{word}");
            moved += 1;
            // What the client still says goes nowhere.
            let _ = client.stream.write_all(AUTH.as_bytes());
        }
    }
    assert_eq!(moved, begun);
    assert_eq!(node.recorded().iter().filter(|kind| **kind == "moved").count(), moved);
    thread::sleep(Duration::from_millis(300));
    for seen in drains.seen.lock().unwrap().iter() {
        assert!(seen.ended.is_some_and(|at| at < told + Duration::from_millis(750)), "ended within 750 ms");
        assert!(
            seen.text().ends_with("</stream:stream>") && !seen.text().contains("<auth"),
            "{}",
            seen.text()
        );
    }
    let mut client = node.client();
    client.log_in();
    assert_eq!(drains.connections(), begun, "nothing new to a member that drains");
}

#[test]
fn bad_streams_get_the_rfc_errors_and_reach_no_member() {
    let server = Server::start(Manner::Sound);
    let node = Node::start("bad", std::slice::from_ref(&server));
    for (say, condition) in [
        (HEADER.replace("chat.example", "news.example"), "host-unknown"),
        (HEADER.replace("kiln.example", "else.example"), "invalid-from"),
        (HEADER.replace("jabber:client", "jabber:server"), "invalid-namespace"),
        (HEADER.replace("<?xml version='1.0'?>", "<!DOCTYPE x>"), "restricted-xml"),
        ("GET / HTTP/1.1\r\n\r\n".to_owned(), "bad-format"),
    ] {
        let mut client = node.client();
        client.say(&say);
        let answer = client.rest();
        assert!(answer.contains(&format!("<{condition} ")) && errors(&answer) == 1, "{condition}: {answer}");
    }
    assert_eq!(server.connections(), 0);
    for (say, condition) in [
        ("<message></presence>".to_owned(), "not-well-formed"),
        (format!("<message><body>{}</body></message>", "x".repeat(20_000)), "policy-violation"),
    ] {
        let mut client = node.client();
        client.log_in();
        let _ = client.stream.write_all(say.as_bytes());
        let answer = client.rest();
        assert!(answer.contains(&format!("<{condition} ")) && errors(&answer) == 1, "{condition}: {answer}");
    }
    assert!(server.seen.lock().unwrap().iter().all(|seen| !seen.text().contains("<message>")));
}

/// SIGHUP under load: a bad inventory changes nothing, not even if one follows the other, and streams are kept.
#[test]
fn a_bad_inventory_changes_nothing() {
    let server = Server::start(Manner::Sound);
    let node = Node::start("refused", std::slice::from_ref(&server));
    let mut kept = node.client();
    kept.log_in();
    for bad in ["members: [{name: a, dial: nowhere}]", "members: 7"] {
        std::fs::write(node.folder.join("inventory.yaml"), bad).unwrap();
        node.signal("-HUP");
        thread::sleep(Duration::from_millis(100));
    }
    node.client().log_in();
    kept.say("<message to='bob@kiln.example'><body>still</body></message>");
    assert!(kept.hear("</message>").contains("still"));
}

#[test]
fn a_team_over_its_maximum_is_rejected_and_others_are_not() {
    let server = Server::start(Manner::Sound);
    let node = Node::start("contract", std::slice::from_ref(&server));
    let header = HEADER.replace("kiln.example", "small.example");
    let mut first = node.client();
    // It stands: one that only negotiates ends at its own deadline, and the second got its place just before its own.
    first.log_in_by(&header);
    let mut second = node.client();
    let asked = Instant::now();
    second.say(&header);
    node.client().log_in();
    let answer = second.rest();
    assert!(answer.contains("<resource-constraint ") && errors(&answer) == 1, "{answer}");
    assert!(asked.elapsed() < DEADLINE);
    let _ = first.stream.shutdown(Shutdown::Both);
}

#[test]
fn sigterm_moves_all_and_ends_well() {
    let server = Server::start(Manner::Sound);
    let mut node = Node::start("term", std::slice::from_ref(&server));
    let mut client = node.client();
    client.log_in();
    node.signal("-TERM");
    let word = client.rest();
    assert!(word.contains("<see-other-host ") && errors(&word) == 1, "{word}");
    assert!(node.child.wait().unwrap().success());
}
