//! The front for the platform's line protocol: text lines, with one `OPEN` per client connection.

mod first_line;
mod framing;
mod parse;
mod probe;
mod relay;

pub use parse::ProbeReport;
pub use probe::Probe;

use crate::api::*;
use crate::broker::{ClientError, Command, FrontEvent};
use crate::config::Site;
use crate::front::{FIRST_LINE_TIMEOUT_MS, Front, Input, MAX_BUFFERED_BYTES, Step};
use first_line::{FirstLine, FirstLineError};
use framing::LineFramer;
use parse::{ClientLine, MemberLine};
use relay::Relay;
use std::collections::VecDeque;
use std::rc::Rc;

/// Longest line that is accepted, and most that a client may send before its request is answered.
pub const MAX_LINE_BYTES: usize = 4 * 1024;
/// How long `MOVE` to the client of a mute member waits for the end of the member's line. Such a client has to
/// be moved within 7 s of the line that was not answered.
const MUTE_MOVE_TIMEOUT_MS: Millis = 300.0;
/// How long one side may keep the connection open after the other side has ended.
const HALF_CLOSE_TIMEOUT_MS: Millis = 800.0;

/// The settings that the front needs.
#[derive(Debug, Default)]
pub struct PlatformSettings {
    classes: Vec<String>,
    tenants: Vec<String>,
    /// Pool members send `LOAD` lines on connections.
    has_load_lines: bool,
    /// Pool members append a load report to `BYE`, `BUSY` and `ERR`.
    has_load_reports: bool,
}

impl PlatformSettings {
    /// Copies them from the site's settings.
    pub fn new(site: &Site) -> Self {
        PlatformSettings {
            classes: site.classes.clone(),
            tenants: site.tenants.clone(),
            has_load_lines: site.has_load_lines,
            has_load_reports: site.has_load_reports,
        }
    }
}

enum State {
    /// Waiting for the end of the first line.
    AwaitingFirstLine,
    /// A readiness check awaits the broker's answer.
    Ping,
    /// The broker has the request; no flow is open.
    AwaitingFlow,
    /// A flow is connecting, or its request is being written or awaits the answer of the member.
    Opening { request_written: bool },
    /// The member serves the connection; bytes are relayed both ways.
    Up(Relay),
    /// The client is to be moved: `MOVE` is sent as soon as the member's current line ends.
    Moving,
    /// The member has stopped sending; what the client still sends is relayed for a short time.
    MemberEnded,
    /// The final answer is queued and the connection is being closed.
    Closed,
}

/// One client connection.
pub struct Session {
    settings: Rc<PlatformSettings>,
    state: State,
    /// The client's first line, without its line end.
    line: String,
    /// Bytes received from the client that are not forwarded yet.
    from_client: Vec<u8>,
    /// Bytes of the member's incomplete answer to the first line.
    from_member: Vec<u8>,
    /// Holds back the start of the member's current line once the connection is established.
    framer: LineFramer,
    to_client: Vec<u8>,
    to_member: Vec<u8>,
    steps: VecDeque<Step>,
    /// Deadline of the current state.
    due: Option<Millis>,
    client_ended: bool,
    /// A readiness check has been answered on this connection.
    answered_ping: bool,
}

impl Session {
    /// Creates the session of a connection accepted at `now`.
    pub fn new(now: Millis, settings: Rc<PlatformSettings>) -> Self {
        Session {
            settings,
            state: State::AwaitingFirstLine,
            line: String::new(),
            from_client: Vec::new(),
            from_member: Vec::new(),
            framer: LineFramer::default(),
            to_client: Vec::new(),
            to_member: Vec::new(),
            steps: VecDeque::new(),
            due: Some(now + FIRST_LINE_TIMEOUT_MS),
            client_ended: false,
            answered_ping: false,
        }
    }

    fn notify_broker(&mut self, event: FrontEvent) {
        self.steps.push_back(Step::Notify(event));
    }

    /// Sends the final answer and closes the connection.
    fn finish(&mut self, answer: &str) {
        self.to_client.extend_from_slice(answer.as_bytes());
        self.to_client.extend_from_slice(b"\r\n");
        self.close(Step::Finish);
    }

    fn close(&mut self, step: Step) {
        self.state = State::Closed;
        self.due = None;
        self.steps.push_back(step);
    }

    fn fail_first_line(&mut self, error: FirstLineError) {
        let FirstLineError { kind, message, detail } = error;
        self.steps.push_back(Step::Log { what: message, detail });
        self.notify_broker(FrontEvent::ClientError(kind));
        self.finish(&format!("ERR {message}"));
    }

    fn read_first_line(&mut self) {
        let line = match first_line::take(&mut self.from_client) {
            Ok(None) => return,
            Ok(Some(line)) => line,
            Err(error) => return self.fail_first_line(error),
        };
        match first_line::read(&line, &self.settings) {
            Err(error) => self.fail_first_line(error),
            Ok(FirstLine::Ping) => {
                self.state = State::Ping;
                self.due = None;
                self.notify_broker(FrontEvent::Ping);
            }
            Ok(FirstLine::Open { line, request }) => {
                self.line = line;
                self.state = State::AwaitingFlow;
                self.due = None;
                self.notify_broker(FrontEvent::ClientRequest(*request));
            }
        }
    }

    fn handle_command(&mut self, now: Millis, command: Command) {
        match (command, std::mem::replace(&mut self.state, State::Closed)) {
            (_, State::Closed) => {}
            (Command::Ready, State::Ping) => {
                self.to_client.extend_from_slice(b"PONG\r\n");
                self.state = State::AwaitingFirstLine;
                self.answered_ping = true;
                self.due = Some(now + FIRST_LINE_TIMEOUT_MS);
                self.read_first_line();
            }
            // The checker takes any answer but `PONG` as not ready.
            (Command::Unready, State::Ping) => self.finish("ERR Unready"),
            (Command::Open { dial, wait_ms, .. }, State::AwaitingFlow) => {
                if let Some(ClientLine::Open(open)) = parse::client_line(&self.line) {
                    self.to_member = open.forwarded(wait_ms.max(1.0) as u64).into_bytes();
                }
                self.from_member.clear();
                self.state = State::Opening { request_written: false };
                self.steps.push_back(Step::Dial(dial));
            }
            (Command::Abandon, State::Opening { .. }) => self.drop_flow(),
            (Command::Reject(ms), _) => {
                self.finish(&if ms >= 1.0 { format!("BUSY {}", ms as u64) } else { "BUSY".into() })
            }
            (Command::Fail(failure), _) => self.finish(&format!("ERR {failure:?}")),
            (Command::Move { latest }, State::Up(_)) => {
                self.state = State::Moving;
                self.due = Some(latest);
                self.move_if_line_complete();
            }
            (_, state) => self.state = state,
        }
    }

    /// Closes the flow. The step is queued before the broker is told, so that two flows of one transaction
    /// are never open at once.
    fn drop_flow(&mut self) {
        self.to_member.clear();
        self.from_member.clear();
        self.state = State::AwaitingFlow;
        self.steps.push_back(Step::CloseMember);
    }

    /// Completes a move once the member's current line has ended.
    fn move_if_line_complete(&mut self) {
        if self.framer.is_line_complete() {
            self.complete_move(Step::Finish);
        }
    }

    /// Sends `MOVE` and closes both sides. The start of a line that is held back is dropped. If the client has
    /// been sent the start of a line, no `MOVE` can follow: it would end the line in the member's place. The
    /// connection is then closed within the line, by `close`.
    fn complete_move(&mut self, close: Step) {
        self.framer.discard();
        self.steps.push_back(Step::CloseMember);
        if self.framer.is_between_lines() {
            self.to_client.extend_from_slice(b"MOVE\r\n");
            self.close(Step::Finish);
        } else {
            let detail = String::from("its member's line has not ended");
            self.steps.push_back(Step::Log { what: "client closed without MOVE", detail });
            self.close(close);
        }
    }

    /// Closes a flow that did not become a connection and reports its outcome to the broker.
    fn end_flow(&mut self, outcome: Outcome, report: Option<Report>) {
        self.drop_flow();
        let report = report.filter(|_| self.settings.has_load_reports);
        self.notify_broker(FrontEvent::Ended(outcome, report));
    }

    /// Reads the pool member's answer to the first line, once it is complete.
    fn read_member_answer(&mut self, now: Millis) {
        let Some(end) = self.from_member.iter().position(|b| *b == b'\n') else {
            if self.from_member.len() > MAX_LINE_BYTES {
                self.end_flow(Outcome::Error, None);
            }
            return;
        };
        let line = String::from_utf8_lossy(&self.from_member[..end]).trim_end_matches('\r').to_owned();
        let (kind, report) = parse::member_line(&line);
        match kind {
            MemberLine::Up => {
                let bytes = std::mem::take(&mut self.from_member);
                let mut relay = Relay::default();
                let mut events = Vec::new();
                relay.member_sent(now, &bytes[end + 1..], &mut events);
                self.framer.take(&bytes, &mut self.to_client);
                let waiting = std::mem::take(&mut self.from_client);
                relay.client_sent(now, &waiting);
                self.to_member.extend_from_slice(&waiting);
                self.state = State::Up(relay);
                self.notify_broker(FrontEvent::Up);
                self.report_relay_events(events);
                if self.client_ended {
                    self.steps.push_back(Step::ShutdownMember);
                    self.due = Some(now + HALF_CLOSE_TIMEOUT_MS);
                }
            }
            MemberLine::Bye => {
                self.notify_broker(FrontEvent::Ended(
                    Outcome::Ok,
                    report.filter(|_| self.settings.has_load_reports),
                ));
                self.steps.push_back(Step::CloseMember);
                self.finish(&line);
            }
            MemberLine::Move => self.end_flow(Outcome::Cancelled, None),
            MemberLine::Busy => self.end_flow(Outcome::Full, report),
            MemberLine::Err | MemberLine::Load(_) | MemberLine::Other => {
                self.end_flow(Outcome::Error, report)
            }
        }
    }

    fn report_relay_events(&mut self, events: Vec<relay::Event>) {
        for event in events {
            match event {
                relay::Event::Reply(ms) => self.notify_broker(FrontEvent::Message(ms)),
                relay::Event::Load(load) if self.settings.has_load_lines => {
                    self.notify_broker(FrontEvent::Load(load))
                }
                relay::Event::Load(_) => {}
            }
        }
    }

    fn handle_client_bytes(&mut self, now: Millis, bytes: &[u8]) {
        match &mut self.state {
            State::AwaitingFirstLine => {
                self.from_client.extend_from_slice(bytes);
                self.read_first_line();
            }
            State::Ping | State::AwaitingFlow | State::Opening { .. } => {
                self.from_client.extend_from_slice(bytes);
                // A client should send nothing more before it is answered. It is read all the same: if a
                // client that sends on and leaves were not read, its end would go unseen and the request
                // would reach a member with no client behind it.
                if self.from_client.len() > MAX_LINE_BYTES {
                    let detail = format!("{} bytes", self.from_client.len());
                    self.steps.push_back(Step::Log { what: "client does not wait", detail });
                    self.notify_broker(FrontEvent::ClientError(ClientError::TooLong));
                    self.client_left("ERR client does not wait");
                }
            }
            State::Up(relay) => {
                relay.client_sent(now, bytes);
                self.to_member.extend_from_slice(bytes);
                self.set_reply_timer(now);
            }
            State::Moving | State::MemberEnded => self.to_member.extend_from_slice(bytes),
            State::Closed => {}
        }
    }

    /// Sets the timer for the member's next reply. A member that stays silent beyond it is not expected to
    /// reply at all, so the client is moved then, while it still has time to be placed elsewhere.
    fn set_reply_timer(&mut self, now: Millis) {
        if let (State::Up(relay), false) = (&self.state, self.client_ended) {
            self.due = relay.reply_deadline().map(|deadline| deadline.max(now));
        }
    }

    fn handle_member_bytes(&mut self, now: Millis, bytes: &[u8]) {
        match &mut self.state {
            State::Opening { .. } => {
                self.from_member.extend_from_slice(bytes);
                self.read_member_answer(now);
            }
            State::Up(relay) => {
                let mut events = Vec::new();
                relay.member_sent(now, bytes, &mut events);
                self.framer.take(bytes, &mut self.to_client);
                self.report_relay_events(events);
                self.set_reply_timer(now);
            }
            State::Moving => {
                let lines = bytes.iter().rposition(|byte| *byte == b'\n').map_or(bytes.len(), |end| end + 1);
                self.framer.take(&bytes[..lines], &mut self.to_client);
                self.move_if_line_complete();
            }
            _ => {}
        }
    }

    /// Tells the broker that the client no longer waits, drops the flow and closes the connection with
    /// `answer`.
    fn client_left(&mut self, answer: &str) {
        self.notify_broker(FrontEvent::Left);
        self.steps.push_back(Step::CloseMember);
        self.finish(answer);
    }

    fn handle_client_eof(&mut self, now: Millis) {
        self.client_ended = true;
        match &self.state {
            State::AwaitingFirstLine if self.from_client.is_empty() => self.close(Step::Finish),
            State::AwaitingFirstLine => {
                let detail = format!("{} bytes", self.from_client.len());
                self.fail_first_line(FirstLineError {
                    kind: ClientError::HalfClosed,
                    message: "early close",
                    detail,
                })
            }
            State::Ping | State::AwaitingFlow | State::Opening { .. } => self.client_left("ERR early close"),
            State::Up(_) => {
                self.steps.push_back(Step::ShutdownMember);
                self.due = Some(now + HALF_CLOSE_TIMEOUT_MS);
            }
            // The client may still read; the move waits for the member's line as before.
            State::Moving => self.steps.push_back(Step::ShutdownMember),
            State::MemberEnded => {
                self.steps.push_back(Step::ShutdownMember);
                self.close(Step::Finish);
            }
            State::Closed => {}
        }
    }

    fn handle_member_end(&mut self, now: Millis, reset: bool) {
        match &self.state {
            State::Opening { request_written } => {
                let outcome = if *request_written { Outcome::Reset } else { Outcome::Unreachable };
                self.end_flow(outcome, None);
            }
            State::Up(relay) => {
                let event = match relay.last_line() {
                    Some(MemberLine::Bye) => FrontEvent::Ended(Outcome::Ok, None),
                    Some(MemberLine::Move) => FrontEvent::MovedByMember,
                    _ if self.client_ended => FrontEvent::Ended(Outcome::Cancelled, None),
                    _ => FrontEvent::Ended(Outcome::Reset, None),
                };
                self.notify_broker(event);
                self.framer.release(&mut self.to_client);
                // Close the client's connection in the way the member closed its own: by a reset or a
                // graceful end.
                if reset {
                    self.close(Step::ResetClient);
                } else if self.client_ended {
                    self.close(Step::Finish);
                } else {
                    self.steps.push_back(Step::ShutdownClient);
                    self.state = State::MemberEnded;
                    self.due = Some(now + HALF_CLOSE_TIMEOUT_MS);
                }
            }
            State::MemberEnded => self.close(if reset { Step::ResetClient } else { Step::Finish }),
            State::Moving => self.complete_move(if reset { Step::ResetClient } else { Step::Finish }),
            _ => {}
        }
    }

    /// Handles the deadline of the current state.
    fn handle_due(&mut self, now: Millis) {
        match &self.state {
            State::AwaitingFirstLine if self.answered_ping && self.from_client.is_empty() => {
                self.close(Step::Finish)
            }
            State::AwaitingFirstLine => {
                let detail = format!("{} bytes", self.from_client.len());
                self.fail_first_line(FirstLineError {
                    kind: ClientError::Silent,
                    message: "silent client",
                    detail,
                })
            }
            State::Moving => self.complete_move(Step::Finish),
            State::MemberEnded => self.close(Step::Finish),
            State::Up(_) if self.client_ended => {
                self.notify_broker(FrontEvent::Left);
                self.steps.push_back(Step::CloseMember);
                self.framer.release(&mut self.to_client);
                self.close(Step::Finish);
            }
            State::Up(relay) if relay.reply_deadline().is_some_and(|deadline| now >= deadline) => {
                self.steps.push_back(Step::Log { what: "mute connection", detail: String::new() });
                self.notify_broker(FrontEvent::Ended(Outcome::TimedOut, None));
                self.handle_command(now, Command::Move { latest: now + MUTE_MOVE_TIMEOUT_MS });
            }
            _ => {}
        }
    }
}

impl Front for Session {
    fn take(&mut self, now: Millis, input: Input<'_>) {
        match input {
            Input::Client(bytes) => self.handle_client_bytes(now, bytes),
            Input::ClientEof => self.handle_client_eof(now),
            Input::ClientReset => match &self.state {
                State::Closed => {}
                State::AwaitingFirstLine | State::MemberEnded | State::Moving => {
                    self.close(Step::ResetClient)
                }
                _ => {
                    self.notify_broker(FrontEvent::Left);
                    self.steps.push_back(Step::ResetMember);
                    self.close(Step::ResetClient);
                }
            },
            Input::MemberConnected => {
                if matches!(self.state, State::Opening { .. }) {
                    self.notify_broker(FrontEvent::Connected);
                }
            }
            Input::MemberConnectFailed => {
                if matches!(self.state, State::Opening { .. }) {
                    self.end_flow(Outcome::Unreachable, None);
                }
            }
            Input::Member(bytes) => self.handle_member_bytes(now, bytes),
            Input::MemberWritten => {
                if let State::Opening { request_written } = &mut self.state {
                    *request_written = true;
                    self.notify_broker(FrontEvent::Sent);
                }
            }
            Input::MemberEof => self.handle_member_end(now, false),
            Input::MemberReset => self.handle_member_end(now, true),
            Input::Command(command) => self.handle_command(now, command),
            Input::Tick => {
                if self.due.is_some_and(|due| now >= due) {
                    self.due = None;
                    self.handle_due(now);
                }
            }
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
        match self.state {
            State::Up(_) | State::Moving | State::MemberEnded => self.to_member.len() < MAX_BUFFERED_BYTES,
            // A client that does not read its answers to readiness checks gets no more of them.
            State::AwaitingFirstLine | State::Ping => self.to_client.len() < MAX_BUFFERED_BYTES,
            // A client that awaits its answer is still read, so that its end is noticed.
            State::AwaitingFlow | State::Opening { .. } | State::Closed => true,
        }
    }

    fn reads_member(&self) -> bool {
        self.to_client.len() < MAX_BUFFERED_BYTES
    }
}
