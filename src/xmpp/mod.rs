//! The front for XMPP (RFC 6120, 6121). One client stream is one transaction. The stream's `to` selects the
//! service, which is a class for the broker. The team, a tenant for the broker, follows from the stream's
//! `from`, or from the listener where `from` names no domain. A transaction succeeds when negotiation ends
//! with a bound resource, and fails with exactly one stream error.
//!
//! TLS is not supported: a client that requests STARTTLS is sent a failure and its stream is closed.

mod buffer_budget;
mod xml;

pub use buffer_budget::BufferBudget;

use crate::api::*;
use crate::broker::{ArrivalKind, ClientError, ClientRequest, Command, Failure, FrontEvent};
use crate::front::{FIRST_LINE_TIMEOUT_MS, Front, Input, MAX_BUFFERED_BYTES, Step};
use buffer_budget::{OWN_BYTES, Share};
use std::collections::VecDeque;
use std::rc::Rc;
use xml::{Child, StreamItem, StreamParser, XmlError, escape};

/// Subtracted from the service's deadline to cover the transit of the answer.
const ANSWER_MARGIN_MS: Millis = 100.0;
/// How long a peer may take for a stanza that is too long for the stream's own buffer.
const LONG_STANZA_TIMEOUT_MS: Millis = 30_000.0;
/// How long one side may take to close its stream after the other side has closed.
const STREAM_CLOSE_TIMEOUT_MS: Millis = 800.0;
const BIND_NAMESPACE: &str = "urn:ietf:params:xml:ns:xmpp-bind";
const STREAM_ERROR_NAMESPACE: &str = "urn:ietf:params:xml:ns:xmpp-streams";

/// The settings that the front needs from the operator's file and the inventory.
#[derive(Clone, Debug, Default)]
pub struct XmppSettings {
    /// Name of each service and deadline for the negotiation of its streams, in ms, indexed by class.
    pub services: Vec<(String, Millis)>,
    /// Domains of each team, indexed by tenant.
    pub teams: Vec<Vec<String>>,
    /// Tenant of clients whose `from` names no domain; without it they are refused.
    pub default_team: Option<u32>,
    /// Longest stanza that is accepted, in bytes.
    pub stanza_bytes: usize,
    /// Address sent in `see-other-host`, to which moved clients reconnect.
    pub see_other: String,
    /// What all streams together may hold.
    pub buffer_budget: BufferBudget,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// Waiting for the client's stream header.
    AwaitingHeader,
    /// The broker has the request; no flow is open.
    AwaitingFlow,
    /// A flow is open and the stream is being negotiated with its member.
    Negotiating,
    /// A resource is bound; the member serves the stream.
    Up,
    /// One side has closed its stream; the other side is expected to close too.
    Closing,
    /// The client's stream has ended and its connection is being closed.
    Closed,
}

/// One client stream.
pub struct Session {
    settings: Rc<XmppSettings>,
    state: State,
    client_parser: StreamParser,
    member_parser: StreamParser,
    /// The service that the client's header names in `to`.
    service: String,
    /// What the client has sent so far, sent again to each member that is tried. Kept until something from a
    /// member has reached the client.
    replay_buffer: Vec<u8>,
    /// The member's stream header. It is held back until the next item shows that the member does not refuse
    /// the client.
    held_header: Vec<u8>,
    /// Something from a member has reached the client, so no other member can take over.
    committed: bool,
    /// The client has been sent a stream header.
    header_sent: bool,
    /// The flow's connection is established.
    flow_connected: bool,
    /// The last flow was abandoned before its member had answered or failed.
    member_silent: bool,
    /// The stream error with which the member closed its stream.
    member_error: Vec<u8>,
    to_client: Vec<u8>,
    to_member: Vec<u8>,
    steps: VecDeque<Step>,
    /// Deadline of the current state.
    due: Option<Millis>,
    /// Deadline of a long stanza whose end has not arrived.
    long_stanza_due: Option<Millis>,
    share: Share,
}

impl Session {
    /// Creates the session of a connection accepted at `now`.
    pub fn new(now: Millis, settings: Rc<XmppSettings>) -> Self {
        Session {
            state: State::AwaitingHeader,
            client_parser: StreamParser::new(settings.stanza_bytes),
            member_parser: StreamParser::new(settings.stanza_bytes),
            share: settings.buffer_budget.share(),
            long_stanza_due: None,
            settings,
            service: String::new(),
            replay_buffer: Vec::new(),
            held_header: Vec::new(),
            committed: false,
            header_sent: false,
            flow_connected: false,
            member_silent: false,
            member_error: Vec::new(),
            to_client: Vec::new(),
            to_member: Vec::new(),
            steps: VecDeque::new(),
            due: Some(now + FIRST_LINE_TIMEOUT_MS),
        }
    }

    fn notify_broker(&mut self, event: FrontEvent) {
        self.steps.push_back(Step::Notify(event));
    }

    fn close(&mut self, step: Step) {
        self.state = State::Closed;
        self.due = None;
        self.steps.push_back(step);
    }

    /// Closes the client's stream with a stream error. The node's own header precedes it if the client has
    /// had none.
    fn close_with_condition(&mut self, condition: &str, text: &str) {
        let error = format!("<{condition} xmlns='{STREAM_ERROR_NAMESPACE}'>{}</{condition}>", escape(text));
        self.close_with_error(format!("<stream:error>{error}</stream:error>").as_bytes());
    }

    fn close_with_error(&mut self, error: &[u8]) {
        self.send_header();
        self.to_client.extend_from_slice(error);
        self.to_client.extend_from_slice(b"</stream:stream>");
        self.close_member_stream();
        self.close(Step::Finish);
    }

    /// Sends the client the node's own stream header, unless it has had one already.
    fn send_header(&mut self) {
        if !std::mem::replace(&mut self.header_sent, true) {
            let from = escape(&self.service);
            let header = format!(
                "<?xml version='1.0'?><stream:stream xmlns='jabber:client' \
                 xmlns:stream='http://etherx.jabber.org/streams' from='{from}' version='1.0'>"
            );
            self.to_client.extend_from_slice(header.as_bytes());
        }
    }

    /// Closes the member's stream gracefully if one is open.
    fn close_member_stream(&mut self) {
        if matches!(self.state, State::Negotiating | State::Up | State::Closing) {
            self.to_member.extend_from_slice(b"</stream:stream>");
        }
    }

    /// Ends the transaction because of an error of the client, and closes what was opened for it.
    fn fail_client(&mut self, kind: ClientError, condition: &'static str, what: &'static str) {
        self.steps.push_back(Step::Log { what, detail: condition.to_owned() });
        self.notify_broker(match self.state {
            State::AwaitingHeader => FrontEvent::ClientError(kind),
            _ => FrontEvent::Left,
        });
        self.close_with_condition(condition, "");
    }

    // ---- Buffers ----

    /// Counts what the stream holds against the shared budget. A peer that sends or leaves unread more than it
    /// allows loses the stream, and so does one that takes too long for a long stanza.
    fn check_buffers(&mut self, now: Millis) {
        let incomplete_bytes = self.client_parser.buffered_bytes().max(self.member_parser.buffered_bytes());
        let is_long = incomplete_bytes > OWN_BYTES && self.state != State::Closed;
        let due = self.long_stanza_due.unwrap_or(now + LONG_STANZA_TIMEOUT_MS);
        self.long_stanza_due = is_long.then_some(due);
        let buffers = [&self.replay_buffer, &self.held_header, &self.to_client, &self.to_member];
        let held_bytes = self.client_parser.buffered_bytes()
            + self.member_parser.buffered_bytes()
            + buffers.map(Vec::capacity).iter().sum::<usize>();
        let is_within = self.share.set(held_bytes);
        if is_long && now >= due {
            self.end_for_buffers("connection-timeout", "stanza takes too long");
        } else if !is_within {
            self.end_for_buffers("resource-constraint", "streams hold too much");
        }
    }

    fn end_for_buffers(&mut self, condition: &'static str, what: &'static str) {
        if self.state != State::Closed {
            self.fail_client(ClientError::TooLong, condition, what);
            self.client_parser = StreamParser::new(self.settings.stanza_bytes);
            self.member_parser = StreamParser::new(self.settings.stanza_bytes);
            self.replay_buffer = Vec::new();
            self.share.set(0);
        }
    }

    // ---- From the client ----

    fn read_client_items(&mut self, now: Millis) {
        while !matches!(self.state, State::Closing | State::Closed) {
            match self.client_parser.next() {
                Ok(Some(item)) => self.handle_client_item(now, item),
                Ok(None) => return,
                Err(error) => {
                    let too_long = error == XmlError::PolicyViolation;
                    let kind = if too_long { ClientError::TooLong } else { ClientError::Malformed };
                    return self.fail_client(kind, error.condition(), "bad stream");
                }
            }
        }
    }

    fn handle_client_item(&mut self, now: Millis, item: StreamItem) {
        match (self.state, item) {
            (State::AwaitingHeader, StreamItem::Header { attributes, bytes }) => {
                self.handle_client_header(&attributes, bytes)
            }
            (State::AwaitingHeader, _) => {
                self.fail_client(ClientError::Malformed, XmlError::BadFormat.condition(), "bad stream")
            }
            (_, StreamItem::Stanza { name, .. }) if name == "starttls" => {
                // TLS is not supported. RFC 6120, 5.4.2.2 requires a failure and the end of the stream.
                self.notify_broker(FrontEvent::Left);
                self.send_header();
                let failure: &[u8] = b"<failure xmlns='urn:ietf:params:xml:ns:xmpp-tls'/></stream:stream>";
                self.to_client.extend_from_slice(failure);
                self.close_member_stream();
                self.close(Step::Finish);
            }
            (State::AwaitingFlow | State::Negotiating, StreamItem::End(bytes)) => {
                self.to_member.extend_from_slice(&bytes);
                self.notify_broker(FrontEvent::Left);
                self.send_header();
                self.to_client.extend_from_slice(b"</stream:stream>");
                self.close(Step::Finish);
            }
            (_, StreamItem::End(bytes)) => {
                self.to_member.extend_from_slice(&bytes);
                self.state = State::Closing;
                self.due = Some(now + STREAM_CLOSE_TIMEOUT_MS);
                self.notify_broker(FrontEvent::Left);
            }
            (
                state,
                StreamItem::Header { bytes, .. }
                | StreamItem::Stanza { bytes, .. }
                | StreamItem::Whitespace(bytes),
            ) => {
                if !self.committed {
                    self.replay_buffer.extend_from_slice(&bytes);
                    if self.replay_buffer.len() > self.settings.stanza_bytes {
                        return self.fail_client(
                            ClientError::TooLong,
                            "policy-violation",
                            "too much before the answer",
                        );
                    }
                }
                if state != State::AwaitingFlow {
                    self.to_member.extend_from_slice(&bytes);
                }
            }
        }
    }

    fn handle_client_header(&mut self, attributes: &[(String, String)], bytes: Vec<u8>) {
        let value = |wanted: &str| {
            attributes.iter().find(|(name, _)| name == wanted).map(|(_, value)| value.as_str()).unwrap_or("")
        };
        let (to, from) = (value("to").to_owned(), value("from").to_owned());
        if value("xmlns:stream") != "http://etherx.jabber.org/streams" || value("xmlns") != "jabber:client" {
            return self.fail_client(ClientError::Malformed, "invalid-namespace", "bad stream header");
        }
        if !value("version").starts_with("1.") {
            return self.fail_client(ClientError::Malformed, "unsupported-version", "bad stream header");
        }
        let Some(class) = self.settings.services.iter().position(|(name, _)| *name == to) else {
            return self.fail_client(ClientError::Unknown, "host-unknown", "unknown service");
        };
        let domain = from.split('/').next().unwrap_or("").rsplit('@').next().unwrap_or("");
        let team = self.settings.teams.iter().position(|domains| domains.iter().any(|known| known == domain));
        let team = match (domain, team) {
            ("", _) => self.settings.default_team,
            (_, team) => team.map(|team| team as u32),
        };
        let Some(team) = team else {
            return self.fail_client(ClientError::Unknown, "invalid-from", "unknown team");
        };
        self.service = to;
        self.replay_buffer = bytes;
        self.state = State::AwaitingFlow;
        self.due = None;
        self.notify_broker(FrontEvent::ClientRequest(ClientRequest {
            name: None,
            class: ClassId(class as u32),
            tenant: TenantId(team),
            group: None,
            key: None,
            grace_ms: self.settings.services[class].1 - ANSWER_MARGIN_MS,
            load_hint: None,
            adopted: None,
            arrival: ArrivalKind::First,
            negotiates: true,
        }));
    }

    // ---- From the pool member ----

    fn read_member_items(&mut self, now: Millis) {
        while matches!(self.state, State::Negotiating | State::Up | State::Closing) {
            match self.member_parser.next() {
                Ok(Some(item)) => self.handle_member_item(now, item),
                Ok(None) => return,
                Err(error) => {
                    let detail = error.condition().to_owned();
                    self.steps.push_back(Step::Log { what: "bad stream from member", detail });
                    return self.handle_flow_end(Outcome::Error);
                }
            }
        }
    }

    fn handle_member_item(&mut self, now: Millis, item: StreamItem) {
        match item {
            StreamItem::Header { bytes, .. } if !self.committed && self.held_header.is_empty() => {
                self.held_header = bytes;
            }
            StreamItem::Stanza { name, children, bytes, .. } if name == "stream:error" => {
                self.member_error = bytes;
                let condition = children.first().map_or("", |child| child.name.as_str());
                self.handle_flow_end(match condition {
                    "resource-constraint" => Outcome::Full,
                    "see-other-host" | "system-shutdown" => Outcome::Cancelled,
                    _ => Outcome::Error,
                });
            }
            StreamItem::End(bytes) => match self.state {
                State::Negotiating => self.handle_flow_end(Outcome::Reset),
                State::Closing => {
                    self.to_client.extend_from_slice(&bytes);
                    self.close(Step::Finish);
                }
                _ => {
                    self.notify_broker(FrontEvent::Ended(Outcome::Ok, None));
                    self.to_client.extend_from_slice(&bytes);
                    self.state = State::Closing;
                    self.due = Some(now + STREAM_CLOSE_TIMEOUT_MS);
                    self.steps.push_back(Step::ShutdownClient);
                }
            },
            StreamItem::Stanza { name, attributes, children, bytes } => {
                self.send_to_client(&bytes);
                let is_result = attributes.iter().any(|(name, value)| name == "type" && value == "result");
                let is_bind = |child: &Child| {
                    child.name == "bind" && child.namespace.as_deref() == Some(BIND_NAMESPACE)
                };
                if self.state == State::Negotiating
                    && name == "iq"
                    && is_result
                    && children.iter().any(is_bind)
                {
                    self.state = State::Up;
                    self.notify_broker(FrontEvent::Up);
                }
            }
            StreamItem::Header { bytes, .. } | StreamItem::Whitespace(bytes) => self.send_to_client(&bytes),
        }
    }

    /// Relays bytes of the member to the client. The first ones commit the client to this member.
    fn send_to_client(&mut self, bytes: &[u8]) {
        if !std::mem::replace(&mut self.committed, true) {
            self.notify_broker(FrontEvent::Committed);
            self.header_sent = true;
            self.replay_buffer = Vec::new();
            let header = std::mem::take(&mut self.held_header);
            self.to_client.extend_from_slice(&header);
        }
        self.to_client.extend_from_slice(bytes);
    }

    /// Handles a flow that failed or that its member ended.
    fn handle_flow_end(&mut self, outcome: Outcome) {
        match self.state {
            State::Negotiating => {
                self.drop_flow();
                self.member_silent = false;
                self.notify_broker(FrontEvent::Ended(outcome, None));
            }
            State::Up => {
                self.notify_broker(FrontEvent::Ended(outcome, None));
                self.to_member.clear();
                self.fail_stream("remote-connection-failed");
            }
            State::Closing => self.close(Step::Finish),
            _ => {}
        }
    }

    /// Closes the flow. The step is queued before the broker is told, so that two flows of one transaction
    /// are never open at once.
    fn drop_flow(&mut self) {
        self.state = State::AwaitingFlow;
        // Close the member's stream gracefully if its connection is established.
        self.to_member = if self.flow_connected { b"</stream:stream>".to_vec() } else { Vec::new() };
        self.flow_connected = false;
        self.held_header.clear();
        self.member_parser = StreamParser::new(self.settings.stanza_bytes);
        self.steps.push_back(Step::CloseMember);
    }

    /// Closes the client's stream: with the member's stream error if the client is committed to that member
    /// and there is one, else with `condition`.
    fn fail_stream(&mut self, condition: &str) {
        let member_error = std::mem::take(&mut self.member_error);
        if self.committed && !member_error.is_empty() {
            self.close_with_error(&member_error)
        } else {
            self.close_with_condition(condition, "")
        }
    }

    fn handle_command(&mut self, command: Command) {
        match (command, self.state) {
            (_, State::Closed) | (Command::Ready | Command::Unready, _) => {}
            (Command::Open { dial, .. }, State::AwaitingFlow) => {
                self.state = State::Negotiating;
                self.member_silent = true;
                self.member_error.clear();
                self.to_member = self.replay_buffer.clone();
                self.steps.push_back(Step::Dial(dial));
            }
            (Command::Abandon, State::Negotiating) => self.drop_flow(),
            // If the last member did not answer, say so rather than report a lack of capacity.
            (Command::Reject(_), _) if self.member_silent => self.fail_stream("remote-connection-failed"),
            (Command::Reject(ms), _) => {
                let retry_text =
                    if ms >= 1.0 { format!("come again after {ms:.0} ms") } else { String::new() };
                let text_namespace = "urn:ietf:params:xml:ns:xmpp-streams";
                let mut error =
                    format!("<stream:error><resource-constraint xmlns='{STREAM_ERROR_NAMESPACE}'/>");
                if !retry_text.is_empty() {
                    error.push_str(&format!(
                        "<text xmlns='{text_namespace}' xml:lang='en'>{retry_text}</text>"
                    ));
                }
                error.push_str("</stream:error>");
                self.close_with_error(error.as_bytes());
            }
            (Command::Fail(Failure::Deadline), _) => self.fail_stream("connection-timeout"),
            (Command::Fail(_), _) => self.fail_stream("remote-connection-failed"),
            // Only whole stanzas are relayed, so that there is nothing to wait for.
            (Command::Move { .. }, _) => {
                let other = self.settings.see_other.clone();
                self.close_with_condition("see-other-host", &other);
            }
            _ => {}
        }
    }
}

impl Front for Session {
    fn take(&mut self, now: Millis, input: Input<'_>) {
        match input {
            Input::Client(bytes) => {
                if !matches!(self.state, State::Closing | State::Closed) {
                    self.client_parser.feed(bytes);
                    self.read_client_items(now);
                }
            }
            Input::ClientEof | Input::ClientReset => {
                match self.state {
                    State::Closed => return,
                    State::Closing => {}
                    State::AwaitingHeader => {
                        self.notify_broker(FrontEvent::ClientError(ClientError::HalfClosed))
                    }
                    _ => self.notify_broker(FrontEvent::Left),
                }
                self.close_member_stream();
                self.close(Step::Finish);
            }
            Input::MemberConnected if self.state == State::Negotiating => {
                self.flow_connected = true;
                self.notify_broker(FrontEvent::Connected);
            }
            Input::MemberConnectFailed => self.handle_flow_end(Outcome::Unreachable),
            Input::Member(bytes) => {
                self.member_parser.feed(bytes);
                self.read_member_items(now);
            }
            Input::MemberEof | Input::MemberReset => {
                self.flow_connected = false;
                self.handle_flow_end(Outcome::Reset);
            }
            Input::Command(command) => self.handle_command(command),
            Input::Tick if self.due.is_some_and(|due| now >= due) => {
                self.due = None;
                match self.state {
                    State::AwaitingHeader => {
                        self.fail_client(ClientError::Silent, "connection-timeout", "silent client")
                    }
                    State::Closing => self.close(Step::Finish),
                    _ => {}
                }
            }
            Input::MemberWritten if self.state == State::Negotiating => self.notify_broker(FrontEvent::Sent),
            Input::MemberConnected | Input::MemberWritten | Input::Tick => {}
        }
        self.check_buffers(now);
    }

    fn step(&mut self) -> Option<Step> {
        self.steps.pop_front()
    }

    fn due(&self) -> Option<Millis> {
        self.due.into_iter().chain(self.long_stanza_due).reduce(Millis::min)
    }

    fn to_client(&mut self) -> &mut Vec<u8> {
        &mut self.to_client
    }

    fn to_member(&mut self) -> &mut Vec<u8> {
        &mut self.to_member
    }

    fn reads_client(&self) -> bool {
        // A client that awaits its answer is still read, so that its end is noticed; what it may send until then
        // is limited by the replay buffer.
        let awaits_answer = matches!(self.state, State::AwaitingFlow | State::Negotiating) && !self.committed;
        awaits_answer || self.to_member.len() < MAX_BUFFERED_BYTES
    }

    fn reads_member(&self) -> bool {
        self.to_client.len() < MAX_BUFFERED_BYTES
    }
}
