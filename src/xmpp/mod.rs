//! The XMPP front (RFC 6120, 6121): one stream is one transaction. The stream's `to` names the service (a
//! class to the broker), its `from` or the listener the team (a tenant). The broker's answer is given when
//! negotiation ends with a bound resource, or by one stream error.
//!
//! Streams are carried without TLS: a client that asks for it is told that it can't be had.

mod xml;

use crate::api::*;
use crate::broker::{ArrivalKind, ClientError, ClientRequest, Command, Failure, FrontEvent};
use crate::front::{FIRST_LINE_TIMEOUT_MS, Front, Input, MAX_BUFFERED_BYTES, Step};
use std::collections::VecDeque;
use std::rc::Rc;
use xml::{Child, Cutter, Unit, XmlError, escape};

/// What is kept back of a deadline for the answer's own way.
const MARGIN_MS: Millis = 100.0;
/// A side that was told of the stream's end has this long to end it too.
const END_WAIT_MS: Millis = 800.0;
const BIND: &str = "urn:ietf:params:xml:ns:xmpp-bind";
const ERRORS: &str = "urn:ietf:params:xml:ns:xmpp-streams";

/// What the front needs to know of the operator's file and the inventory.
#[derive(Clone, Debug, Default)]
pub struct XmppSettings {
    /// Services, by the number of their class, with how long a stream may be negotiated.
    pub services: Vec<(String, Millis)>,
    /// The domains of each team, by the number of its tenant.
    pub teams: Vec<Vec<String>>,
    /// The team of clients that name none.
    pub default_team: Option<u32>,
    /// The longest stanza.
    pub stanza_bytes: usize,
    /// Where moved clients are to come again.
    pub see_other: String,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// Waiting for the client's stream header.
    Header,
    /// Asked; no flow is out.
    Held,
    /// A flow is out: the stream is being negotiated.
    Negotiating,
    /// Bound.
    Up,
    /// One side has ended its stream; the other is to follow.
    Ending,
    /// All is said.
    Over,
}

/// One client stream.
pub struct Session {
    realm: Rc<XmppSettings>,
    state: State,
    client: Cutter,
    server: Cutter,
    to: String,
    /// What the client has sent and a member must see: kept until a member's word has reached the client.
    opening: Vec<u8>,
    /// The member's header, kept until what follows shows that it does not turn the client away.
    held_header: Vec<u8>,
    /// Something of the member's has reached the client.
    committed: bool,
    /// The client has been sent a stream header.
    greeted: bool,
    /// The flow has a connection.
    connected: bool,
    /// The last flow was given up without an end.
    silent: bool,
    /// The stream error that the member closed with.
    server_error: Vec<u8>,
    to_client: Vec<u8>,
    to_member: Vec<u8>,
    steps: VecDeque<Step>,
    due: Option<Millis>,
}

impl Session {
    /// A connection just accepted.
    pub fn new(now: Millis, realm: Rc<XmppSettings>) -> Self {
        Session {
            state: State::Header,
            client: Cutter::new(realm.stanza_bytes),
            server: Cutter::new(realm.stanza_bytes),
            realm,
            to: String::new(),
            opening: Vec::new(),
            held_header: Vec::new(),
            committed: false,
            greeted: false,
            connected: false,
            silent: false,
            server_error: Vec::new(),
            to_client: Vec::new(),
            to_member: Vec::new(),
            steps: VecDeque::new(),
            due: Some(now + FIRST_LINE_TIMEOUT_MS),
        }
    }

    fn say(&mut self, said: FrontEvent) {
        self.steps.push_back(Step::Notify(said));
    }

    fn over(&mut self, step: Step) {
        self.state = State::Over;
        self.due = None;
        self.steps.push_back(step);
    }

    /// The stream's one error, behind a header of our own if the client has none yet, then the end.
    fn error(&mut self, condition: &str, text: &str) {
        let error = format!("<{condition} xmlns='{ERRORS}'>{}</{condition}>", escape(text));
        self.last_word(format!("<stream:error>{error}</stream:error>").as_bytes());
    }

    fn last_word(&mut self, error: &[u8]) {
        self.greet();
        self.to_client.extend_from_slice(error);
        self.to_client.extend_from_slice(b"</stream:stream>");
        self.close_flow();
        self.over(Step::Finish);
    }

    fn greet(&mut self) {
        if !std::mem::replace(&mut self.greeted, true) {
            let from = escape(&self.to);
            let header = format!(
                "<?xml version='1.0'?><stream:stream xmlns='jabber:client' \
                 xmlns:stream='http://etherx.jabber.org/streams' from='{from}' version='1.0'>"
            );
            self.to_client.extend_from_slice(header.as_bytes());
        }
    }

    /// Ends the member's stream in good order where one was begun there.
    fn close_flow(&mut self) {
        if matches!(self.state, State::Negotiating | State::Up | State::Ending) {
            self.to_member.extend_from_slice(b"</stream:stream>");
        }
    }

    /// The client's own fault: the transaction is over, and so is what was begun for it.
    fn bad_client(&mut self, bad: ClientError, condition: &'static str, what: &'static str) {
        self.steps.push_back(Step::Log { what, detail: condition.to_owned() });
        self.say(match self.state {
            State::Header => FrontEvent::ClientError(bad),
            _ => FrontEvent::Left,
        });
        self.error(condition, "");
    }

    // ---- From the client ----

    fn client_sent(&mut self, now: Millis) {
        while !matches!(self.state, State::Ending | State::Over) {
            match self.client.next() {
                Ok(Some(unit)) => self.client_unit(now, unit),
                Ok(None) => return,
                Err(error) => {
                    let long = error == XmlError::PolicyViolation;
                    let bad = if long { ClientError::TooLong } else { ClientError::Malformed };
                    return self.bad_client(bad, error.condition(), "bad stream");
                }
            }
        }
    }

    fn client_unit(&mut self, now: Millis, unit: Unit) {
        match (self.state, unit) {
            (State::Header, Unit::Header { attributes, bytes }) => self.asked(&attributes, bytes),
            (State::Header, _) => {
                self.bad_client(ClientError::Malformed, XmlError::BadFormat.condition(), "bad stream")
            }
            (_, Unit::Stanza { name, .. }) if name == "starttls" => {
                // There is no TLS: RFC 6120 5.4.2.2 answers so and ends the stream.
                self.say(FrontEvent::Left);
                self.greet();
                let failure: &[u8] = b"<failure xmlns='urn:ietf:params:xml:ns:xmpp-tls'/></stream:stream>";
                self.to_client.extend_from_slice(failure);
                self.close_flow();
                self.over(Step::Finish);
            }
            (State::Held | State::Negotiating, Unit::End(bytes)) => {
                self.to_member.extend_from_slice(&bytes);
                self.say(FrontEvent::Left);
                self.greet();
                self.to_client.extend_from_slice(b"</stream:stream>");
                self.over(Step::Finish);
            }
            (_, Unit::End(bytes)) => {
                self.to_member.extend_from_slice(&bytes);
                self.state = State::Ending;
                self.due = Some(now + END_WAIT_MS);
                self.say(FrontEvent::Left);
            }
            (state, Unit::Header { bytes, .. } | Unit::Stanza { bytes, .. } | Unit::Space(bytes)) => {
                if !self.committed {
                    self.opening.extend_from_slice(&bytes);
                    if self.opening.len() > self.realm.stanza_bytes {
                        return self.bad_client(
                            ClientError::TooLong,
                            "policy-violation",
                            "too much before the answer",
                        );
                    }
                }
                if state != State::Held {
                    self.to_member.extend_from_slice(&bytes);
                }
            }
        }
    }

    fn asked(&mut self, attributes: &[(String, String)], bytes: Vec<u8>) {
        let value = |wanted: &str| {
            attributes.iter().find(|(name, _)| name == wanted).map(|(_, value)| value.as_str()).unwrap_or("")
        };
        let (to, from) = (value("to").to_owned(), value("from").to_owned());
        if value("xmlns:stream") != "http://etherx.jabber.org/streams" || value("xmlns") != "jabber:client" {
            return self.bad_client(ClientError::Malformed, "invalid-namespace", "bad stream header");
        }
        if !value("version").starts_with("1.") {
            return self.bad_client(ClientError::Malformed, "unsupported-version", "bad stream header");
        }
        let Some(class) = self.realm.services.iter().position(|(name, _)| *name == to) else {
            return self.bad_client(ClientError::Unknown, "host-unknown", "unknown service");
        };
        let domain = from.split('/').next().unwrap_or("").rsplit('@').next().unwrap_or("");
        let team = self.realm.teams.iter().position(|domains| domains.iter().any(|known| known == domain));
        let team = match (domain, team) {
            ("", _) => self.realm.default_team,
            (_, team) => team.map(|team| team as u32),
        };
        let Some(team) = team else {
            return self.bad_client(ClientError::Unknown, "invalid-from", "unknown team");
        };
        self.to = to;
        self.opening = bytes;
        self.state = State::Held;
        self.due = None;
        self.say(FrontEvent::ClientRequest(ClientRequest {
            name: None,
            class: ClassId(class as u32),
            tenant: TenantId(team),
            group: None,
            key: None,
            grace_ms: self.realm.services[class].1 - MARGIN_MS,
            load_hint: None,
            adopted: None,
            coming: ArrivalKind::First,
            negotiates: true,
        }));
    }

    // ---- From the member ----

    fn server_sent(&mut self, now: Millis) {
        while matches!(self.state, State::Negotiating | State::Up | State::Ending) {
            match self.server.next() {
                Ok(Some(unit)) => self.server_unit(now, unit),
                Ok(None) => return,
                Err(error) => {
                    let detail = error.condition().to_owned();
                    self.steps.push_back(Step::Log { what: "bad stream from member", detail });
                    return self.flow_ended(Outcome::Error);
                }
            }
        }
    }

    fn server_unit(&mut self, now: Millis, unit: Unit) {
        match unit {
            Unit::Header { bytes, .. } if !self.committed && self.held_header.is_empty() => {
                self.held_header = bytes;
            }
            Unit::Stanza { name, children, bytes, .. } if name == "stream:error" => {
                self.server_error = bytes;
                let condition = children.first().map_or("", |child| child.name.as_str());
                self.flow_ended(match condition {
                    "resource-constraint" => Outcome::Full,
                    "see-other-host" | "system-shutdown" => Outcome::Cancelled,
                    _ => Outcome::Error,
                });
            }
            Unit::End(bytes) => match self.state {
                State::Negotiating => self.flow_ended(Outcome::Reset),
                State::Ending => {
                    self.to_client.extend_from_slice(&bytes);
                    self.over(Step::Finish);
                }
                _ => {
                    self.say(FrontEvent::Ended(Outcome::Ok, None));
                    self.to_client.extend_from_slice(&bytes);
                    self.state = State::Ending;
                    self.due = Some(now + END_WAIT_MS);
                    self.steps.push_back(Step::ShutdownClient);
                }
            },
            Unit::Stanza { name, attributes, children, bytes } => {
                self.pass(&bytes);
                let result = attributes.iter().any(|(name, value)| name == "type" && value == "result");
                let bind = |child: &Child| child.name == "bind" && child.namespace.as_deref() == Some(BIND);
                if self.state == State::Negotiating && name == "iq" && result && children.iter().any(bind) {
                    self.state = State::Up;
                    self.say(FrontEvent::Up);
                }
            }
            Unit::Header { bytes, .. } | Unit::Space(bytes) => self.pass(&bytes),
        }
    }

    /// Passes a member's word on. With the first one the client is that member's.
    fn pass(&mut self, bytes: &[u8]) {
        if !std::mem::replace(&mut self.committed, true) {
            self.say(FrontEvent::Committed);
            self.greeted = true;
            self.opening = Vec::new();
            let header = std::mem::take(&mut self.held_header);
            self.to_client.extend_from_slice(&header);
        }
        self.to_client.extend_from_slice(bytes);
    }

    fn flow_ended(&mut self, outcome: Outcome) {
        match self.state {
            State::Negotiating => {
                self.flow_over();
                self.silent = false;
                self.say(FrontEvent::Ended(outcome, None));
            }
            State::Up => {
                self.say(FrontEvent::Ended(outcome, None));
                self.to_member.clear();
                self.failed("remote-connection-failed");
            }
            State::Ending => self.over(Step::Finish),
            _ => {}
        }
    }

    /// Closes the flow before anything else happens: the next one must not be out beside it.
    fn flow_over(&mut self) {
        self.state = State::Held;
        // A stream that was begun there is ended in good order.
        self.to_member = if self.connected { b"</stream:stream>".to_vec() } else { Vec::new() };
        self.connected = false;
        self.held_header.clear();
        self.server = Cutter::new(self.realm.stanza_bytes);
        self.steps.push_back(Step::CloseMember);
    }

    /// Ends the client's stream: with the member's own error where it gave one.
    fn failed(&mut self, condition: &str) {
        let own = std::mem::take(&mut self.server_error);
        if self.committed && !own.is_empty() { self.last_word(&own) } else { self.error(condition, "") }
    }

    fn command(&mut self, command: Command) {
        match (command, self.state) {
            (_, State::Over) | (Command::Ready | Command::Unready, _) => {}
            (Command::Open { dial, .. }, State::Held) => {
                self.state = State::Negotiating;
                self.silent = true;
                self.server_error.clear();
                self.to_member = self.opening.clone();
                self.steps.push_back(Step::Dial(dial));
            }
            (Command::Abandon, State::Negotiating) => self.flow_over(),
            // A client whose member stayed silent learns that, not that there was no room.
            (Command::Reject(_), _) if self.silent => self.failed("remote-connection-failed"),
            (Command::Reject(ms), _) => {
                let again = if ms >= 1.0 { format!("come again after {ms:.0} ms") } else { String::new() };
                let text = "urn:ietf:params:xml:ns:xmpp-streams";
                let mut error = format!("<stream:error><resource-constraint xmlns='{ERRORS}'/>");
                if !again.is_empty() {
                    error.push_str(&format!("<text xmlns='{text}' xml:lang='en'>{again}</text>"));
                }
                error.push_str("</stream:error>");
                self.last_word(error.as_bytes());
            }
            (Command::Fail(Failure::Deadline), _) => self.failed("connection-timeout"),
            (Command::Fail(_), _) => self.failed("remote-connection-failed"),
            (Command::Move, _) => {
                let other = self.realm.see_other.clone();
                self.error("see-other-host", &other);
            }
            _ => {}
        }
    }
}

impl Front for Session {
    fn take(&mut self, now: Millis, input: Input<'_>) {
        match input {
            Input::Client(bytes) => {
                if !matches!(self.state, State::Ending | State::Over) {
                    self.client.feed(bytes);
                    self.client_sent(now);
                }
            }
            Input::ClientEof | Input::ClientReset => {
                match self.state {
                    State::Over => return,
                    State::Ending => {}
                    State::Header => self.say(FrontEvent::ClientError(ClientError::HalfClosed)),
                    _ => self.say(FrontEvent::Left),
                }
                self.close_flow();
                self.over(Step::Finish);
            }
            Input::MemberConnected if self.state == State::Negotiating => {
                self.connected = true;
                self.say(FrontEvent::Connected);
            }
            Input::MemberConnectFailed => self.flow_ended(Outcome::Unreachable),
            Input::Member(bytes) => {
                self.server.feed(bytes);
                self.server_sent(now);
            }
            Input::MemberEof | Input::MemberReset => {
                self.connected = false;
                self.flow_ended(Outcome::Reset);
            }
            Input::Command(command) => self.command(command),
            Input::Tick if self.due.is_some_and(|due| now >= due) => {
                self.due = None;
                match self.state {
                    State::Header => {
                        self.bad_client(ClientError::Silent, "connection-timeout", "silent client")
                    }
                    State::Ending => self.over(Step::Finish),
                    _ => {}
                }
            }
            Input::MemberWritten if self.state == State::Negotiating => self.say(FrontEvent::Sent),
            Input::MemberConnected | Input::MemberWritten | Input::Tick => {}
        }
    }

    fn step(&mut self) -> Option<Step> {
        self.steps.pop_front()
    }

    fn due(&self) -> Option<Millis> {
        self.due
    }

    fn to_client(&mut self) -> &mut Vec<u8> {
        &mut self.to_client
    }

    fn to_member(&mut self) -> &mut Vec<u8> {
        &mut self.to_member
    }

    fn reads_client(&self) -> bool {
        self.to_member.len() < MAX_BUFFERED_BYTES
    }

    fn reads_member(&self) -> bool {
        self.to_client.len() < MAX_BUFFERED_BYTES
    }
}
