//! The platform's front: lines of text, one `OPEN` a connection.

mod first_line;
mod parse;
mod probe;
mod relay;

pub use parse::ProbeReport;
pub use probe::Probe;

use crate::api::*;
use crate::broker::{ClientError, Command, FrontEvent};
use crate::config::Site;
use crate::front::{FIRST_LINE_TIMEOUT_MS, Front, Input, MAX_BUFFERED_BYTES, Step};
use first_line::{FirstLine, Refused};
use parse::{Answer, First};
use relay::Relay;
use std::collections::VecDeque;
use std::rc::Rc;

/// The longest line.
pub const LINE: usize = 4 * 1024;
/// A line that is half relayed may delay `MOVE` by this, and a side that has ended the other by the next.
const MOVE_WAIT_MS: Millis = 300.0;
const END_WAIT_MS: Millis = 800.0;

/// What the front needs of the settings.
#[derive(Debug, Default)]
pub struct PlatformSettings {
    classes: Vec<String>,
    tenants: Vec<String>,
    has_load_lines: bool,
    has_load_reports: bool,
}

impl PlatformSettings {
    /// Takes them from the site's settings.
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
    /// Reading the first line.
    First,
    /// A readiness check waits.
    Ping,
    /// Asked; no flow is out.
    Held,
    /// A flow is being connected, or its first line is being written.
    Opening { written: bool },
    /// It stands.
    Up(Relay),
    /// Moving: `MOVE` goes out as soon as a line has ended.
    Moving(Relay),
    /// The member has ended its sending; the client may still send, for a short while.
    Ending,
    /// All is said.
    Over,
}

/// One client connection.
pub struct Session {
    names: Rc<PlatformSettings>,
    state: State,
    line: String,
    from_client: Vec<u8>,
    from_server: Vec<u8>,
    to_client: Vec<u8>,
    to_member: Vec<u8>,
    steps: VecDeque<Step>,
    due: Option<Millis>,
    client_ended: bool,
    /// A readiness check was answered on it.
    checked: bool,
}

impl Session {
    /// A connection just accepted.
    pub fn new(now: Millis, names: Rc<PlatformSettings>) -> Self {
        Session {
            names,
            state: State::First,
            line: String::new(),
            from_client: Vec::new(),
            from_server: Vec::new(),
            to_client: Vec::new(),
            to_member: Vec::new(),
            steps: VecDeque::new(),
            due: Some(now + FIRST_LINE_TIMEOUT_MS),
            client_ended: false,
            checked: false,
        }
    }

    fn say(&mut self, said: FrontEvent) {
        self.steps.push_back(Step::Notify(said));
    }

    /// The final answer, then the end of the connection.
    fn finish(&mut self, answer: &str) {
        self.to_client.extend_from_slice(answer.as_bytes());
        self.to_client.extend_from_slice(b"\r\n");
        self.over(Step::Finish);
    }

    fn over(&mut self, step: Step) {
        self.state = State::Over;
        self.due = None;
        self.steps.push_back(step);
    }

    fn bad(&mut self, refused: Refused) {
        let Refused { bad, what, detail } = refused;
        self.steps.push_back(Step::Log { what, detail });
        self.say(FrontEvent::ClientError(bad));
        self.finish(&format!("ERR {what}"));
    }

    fn first_line(&mut self) {
        let line = match first_line::take(&mut self.from_client) {
            Ok(None) => return,
            Ok(Some(line)) => line,
            Err(refused) => return self.bad(refused),
        };
        match first_line::read(&line, &self.names) {
            Err(refused) => self.bad(refused),
            Ok(FirstLine::Ping) => {
                self.state = State::Ping;
                self.due = None;
                self.say(FrontEvent::Ping);
            }
            Ok(FirstLine::Open { line, ask }) => {
                self.line = line;
                self.state = State::Held;
                self.due = None;
                self.say(FrontEvent::ClientRequest(*ask));
            }
        }
    }

    fn command(&mut self, now: Millis, command: Command) {
        match (command, std::mem::replace(&mut self.state, State::Over)) {
            (_, State::Over) => {}
            (Command::Ready, State::Ping) => {
                self.to_client.extend_from_slice(b"PONG\r\n");
                self.state = State::First;
                self.checked = true;
                self.due = Some(now + FIRST_LINE_TIMEOUT_MS);
                self.first_line();
            }
            // Anything but `PONG` is a no.
            (Command::Unready, State::Ping) => self.finish("ERR Unready"),
            (Command::Open { dial, wait_ms, .. }, State::Held) => {
                if let Some(First::Open(open)) = parse::first(&self.line) {
                    self.to_member = open.line(wait_ms.max(1.0) as u64).into_bytes();
                }
                self.from_server.clear();
                self.state = State::Opening { written: false };
                self.steps.push_back(Step::Dial(dial));
            }
            (Command::Abandon, State::Opening { .. }) => self.flow_over(),
            (Command::Reject(ms), _) => {
                self.finish(&if ms >= 1.0 { format!("BUSY {}", ms as u64) } else { "BUSY".into() })
            }
            (Command::Fail(why), _) => self.finish(&format!("ERR {why:?}")),
            (Command::Move, State::Up(relay)) => {
                self.state = State::Moving(relay);
                self.due = Some(now + MOVE_WAIT_MS);
                self.try_move(false);
            }
            (_, state) => self.state = state,
        }
    }

    /// Closes the flow before anything else happens: the next one must not be out beside it.
    fn flow_over(&mut self) {
        self.to_member.clear();
        self.from_server.clear();
        self.state = State::Held;
        self.steps.push_back(Step::CloseMember);
    }

    /// `MOVE` stands between two lines. A line that does not end in time is left as it is.
    fn try_move(&mut self, now_or_never: bool) {
        let State::Moving(relay) = &self.state else { return };
        if relay.between_lines() || now_or_never {
            self.to_client.extend_from_slice(if relay.between_lines() {
                b"MOVE\r\n"
            } else {
                b"\r\nMOVE\r\n"
            });
            self.steps.push_back(Step::CloseMember);
            self.over(Step::Finish);
        }
    }

    fn ended(&mut self, outcome: Outcome, report: Option<Report>) {
        self.flow_over();
        let report = report.filter(|_| self.names.has_load_reports);
        self.say(FrontEvent::Ended(outcome, report));
    }

    /// Reads the pool member's answer to the first line.
    fn server_answer(&mut self, now: Millis) {
        let Some(end) = self.from_server.iter().position(|b| *b == b'\n') else {
            if self.from_server.len() > LINE {
                self.ended(Outcome::Error, None);
            }
            return;
        };
        let line = String::from_utf8_lossy(&self.from_server[..end]).trim_end_matches('\r').to_owned();
        let (answer, report) = parse::answer(&line);
        match answer {
            Answer::Up => {
                let bytes = std::mem::take(&mut self.from_server);
                let mut relay = Relay::default();
                let mut seen = Vec::new();
                relay.server_sent(now, &bytes[end + 1..], &mut seen);
                self.to_client.extend_from_slice(&bytes);
                let waiting = std::mem::take(&mut self.from_client);
                relay.client_sent(now, &waiting);
                self.to_member.extend_from_slice(&waiting);
                self.state = State::Up(relay);
                self.say(FrontEvent::Up);
                self.told(seen);
                if self.client_ended {
                    self.steps.push_back(Step::ShutdownMember);
                    self.due = Some(now + END_WAIT_MS);
                }
            }
            Answer::Bye => {
                self.say(FrontEvent::Ended(Outcome::Ok, report.filter(|_| self.names.has_load_reports)));
                self.steps.push_back(Step::CloseMember);
                self.finish(&line);
            }
            Answer::Move => self.ended(Outcome::Cancelled, None),
            Answer::Busy => self.ended(Outcome::Full, report),
            Answer::Err | Answer::Load(_) | Answer::Other => self.ended(Outcome::Error, report),
        }
    }

    fn told(&mut self, seen: Vec<relay::Seen>) {
        for seen in seen {
            match seen {
                relay::Seen::Reply(ms) => self.say(FrontEvent::Message(ms)),
                relay::Seen::Load(load) if self.names.has_load_lines => self.say(FrontEvent::Load(load)),
                relay::Seen::Load(_) => {}
            }
        }
    }

    fn client(&mut self, now: Millis, bytes: &[u8]) {
        match &mut self.state {
            State::First => {
                self.from_client.extend_from_slice(bytes);
                self.first_line();
            }
            State::Ping | State::Held | State::Opening { .. } => {
                self.from_client.extend_from_slice(bytes);
                // It is to wait. Guards against one that sends on and goes: were it not read on, its end would not be
                // seen, and its request would be sent on for nobody.
                if self.from_client.len() > LINE {
                    let detail = format!("{} bytes", self.from_client.len());
                    self.steps.push_back(Step::Log { what: "client does not wait", detail });
                    self.say(FrontEvent::ClientError(ClientError::TooLong));
                    self.left("ERR client does not wait");
                }
            }
            State::Up(relay) => {
                relay.client_sent(now, bytes);
                self.to_member.extend_from_slice(bytes);
                self.watch_mute(now);
            }
            State::Ending => self.to_member.extend_from_slice(bytes),
            State::Moving(_) | State::Over => {}
        }
    }

    /// A line that a running member leaves unanswered for so long will not be answered: the client is moved
    /// while there is time.
    fn watch_mute(&mut self, now: Millis) {
        if let (State::Up(relay), false) = (&self.state, self.client_ended) {
            self.due = relay.mute_at().map(|at| at.max(now));
        }
    }

    fn server(&mut self, now: Millis, bytes: &[u8]) {
        match &mut self.state {
            State::Opening { .. } => {
                self.from_server.extend_from_slice(bytes);
                self.server_answer(now);
            }
            State::Up(relay) => {
                let mut seen = Vec::new();
                relay.server_sent(now, bytes, &mut seen);
                self.to_client.extend_from_slice(bytes);
                self.told(seen);
                self.watch_mute(now);
            }
            State::Moving(relay) => {
                // Only the rest of the line that was begun still goes out.
                let rest = bytes.iter().position(|b| *b == b'\n').map_or(bytes.len(), |end| end + 1);
                relay.server_sent(now, &bytes[..rest], &mut Vec::new());
                self.to_client.extend_from_slice(&bytes[..rest]);
                self.try_move(false);
            }
            _ => {}
        }
    }

    /// Nobody waits for the answer any more.
    fn left(&mut self, answer: &str) {
        self.say(FrontEvent::Left);
        self.steps.push_back(Step::CloseMember);
        self.finish(answer);
    }

    fn client_end(&mut self, now: Millis) {
        self.client_ended = true;
        match &self.state {
            State::First if self.from_client.is_empty() => self.over(Step::Finish),
            State::First => {
                let detail = format!("{} bytes", self.from_client.len());
                self.bad(Refused { bad: ClientError::HalfClosed, what: "early close", detail })
            }
            State::Ping | State::Held | State::Opening { .. } => self.left("ERR early close"),
            State::Up(_) => {
                self.steps.push_back(Step::ShutdownMember);
                self.due = Some(now + END_WAIT_MS);
            }
            State::Moving(_) => self.try_move(true),
            State::Ending => {
                self.steps.push_back(Step::ShutdownMember);
                self.over(Step::Finish);
            }
            State::Over => {}
        }
    }

    fn server_end(&mut self, now: Millis, broke: bool) {
        match &self.state {
            State::Opening { written } => {
                let outcome = if *written { Outcome::Reset } else { Outcome::Unreachable };
                self.ended(outcome, None);
            }
            State::Up(relay) => {
                let said = match relay.last() {
                    Some(Answer::Bye) => FrontEvent::Ended(Outcome::Ok, None),
                    Some(Answer::Move) => FrontEvent::MovedByMember,
                    _ if self.client_ended => FrontEvent::Ended(Outcome::Cancelled, None),
                    _ => FrontEvent::Ended(Outcome::Reset, None),
                };
                self.say(said);
                // The client's connection ends as the member's did.
                if broke {
                    self.over(Step::ResetClient);
                } else if self.client_ended {
                    self.over(Step::Finish);
                } else {
                    self.steps.push_back(Step::ShutdownClient);
                    self.state = State::Ending;
                    self.due = Some(now + END_WAIT_MS);
                }
            }
            State::Ending => self.over(if broke { Step::ResetClient } else { Step::Finish }),
            State::Moving(_) => self.try_move(true),
            _ => {}
        }
    }
}

impl Front for Session {
    fn take(&mut self, now: Millis, input: Input<'_>) {
        match input {
            Input::Client(bytes) => self.client(now, bytes),
            Input::ClientEof => self.client_end(now),
            Input::ClientReset => match &self.state {
                State::Over => {}
                State::First | State::Ending | State::Moving(_) => self.over(Step::ResetClient),
                _ => {
                    self.say(FrontEvent::Left);
                    self.steps.push_back(Step::ResetMember);
                    self.over(Step::ResetClient);
                }
            },
            Input::MemberConnected => {
                if matches!(self.state, State::Opening { .. }) {
                    self.say(FrontEvent::Connected);
                }
            }
            Input::MemberConnectFailed => {
                if matches!(self.state, State::Opening { .. }) {
                    self.ended(Outcome::Unreachable, None);
                }
            }
            Input::Member(bytes) => self.server(now, bytes),
            Input::MemberWritten => {
                if let State::Opening { written } = &mut self.state {
                    *written = true;
                    self.say(FrontEvent::Sent);
                }
            }
            Input::MemberEof => self.server_end(now, false),
            Input::MemberReset => self.server_end(now, true),
            Input::Command(command) => self.command(now, command),
            Input::Tick => {
                if self.due.is_none_or(|due| now < due) {
                    return;
                }
                self.due = None;
                match &self.state {
                    State::First if self.checked && self.from_client.is_empty() => self.over(Step::Finish),
                    State::First => {
                        let detail = format!("{} bytes", self.from_client.len());
                        self.bad(Refused { bad: ClientError::Silent, what: "silent client", detail })
                    }
                    State::Moving(_) => self.try_move(true),
                    State::Ending => self.over(Step::Finish),
                    State::Up(_) if self.client_ended => {
                        self.say(FrontEvent::Left);
                        self.steps.push_back(Step::CloseMember);
                        self.over(Step::Finish);
                    }
                    State::Up(relay) if relay.mute_at().is_some_and(|at| now >= at) => {
                        self.steps.push_back(Step::Log { what: "mute connection", detail: String::new() });
                        self.say(FrontEvent::Ended(Outcome::TimedOut, None));
                        self.command(now, Command::Move);
                    }
                    _ => {}
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
            State::Up(_) | State::Ending => self.to_member.len() < MAX_BUFFERED_BYTES,
            // One that waits is read on, so that its end is seen.
            _ => true,
        }
    }

    fn reads_member(&self) -> bool {
        self.to_client.len() < MAX_BUFFERED_BYTES
    }
}
