//! Tests of the platform front's state machine. A property test feeds one connection with random actions of
//! the client, the member and the broker, in chunks of any size, and checks the output against a model of the
//! protocol. The other tests cover single cases.
use hopmoor::broker::{Command, Failure, FrontEvent};
use hopmoor::config::Site;
use hopmoor::front::{Front, Input, Step};
use hopmoor::platform::{PlatformSettings, Session};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::rc::Rc;

const OPEN: &[u8] = b"OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,t=acme,d=2000,g=5c0f\r\n";

/// An action of the client, the broker or the member, or the passing of time.
#[derive(Clone, Debug)]
enum Action {
    Client(Vec<u8>),
    ClientEof,
    ClientReset,
    Open,
    Abandon,
    Reject,
    Fail,
    Move,
    Connected,
    ConnectFailed,
    Member(Vec<u8>),
    MemberEof,
    MemberReset,
    /// Lets this many milliseconds pass.
    WaitMs(u16),
}

fn member_lines() -> impl Strategy<Value = Vec<u8>> {
    let line = prop_oneof![
        Just(&b"UP 77\r\n"[..]),
        Just(&b"BUSY\r\n"[..]),
        Just(&b"ERR\r\n"[..]),
        Just(&b"BYE\r\n"[..]),
        Just(&b"MOVE\r\n"[..]),
        Just(&b"LOAD 5\r\n"[..]),
        Just(&b"hel"[..]),
        Just(&b"lo\r\n"[..]),
        Just(&b"\xff\n\n"[..]),
    ];
    prop::collection::vec(line, 1..4).prop_map(|lines| lines.concat())
}

/// Invalid input of clients: a first line with one field invalid, once or up to 49 times in a row.
fn invalid_first_lines() -> impl Strategy<Value = Vec<u8>> {
    let value = prop_oneof![
        Just(&b"-1"[..]),
        Just(&b""[..]),
        Just(&b"NaN"[..]),
        Just(&b"-inf"[..]),
        Just(&b"1e400"[..]),
        Just(&b"18446744073709551616000"[..]),
        Just(&b"\0"[..]),
        Just(&b"\xc3\x28"[..]),
    ];
    let field = prop_oneof![Just(&b"d="[..]), Just(&b"h="[..]), Just(&b"c="[..]), Just(&b"x="[..])];
    (field, value, 1usize..300).prop_map(|(field, value, times)| {
        let line = [b"OPEN 1 2 t=acme,", field, value, b"\r\n"].concat();
        line.repeat(times.saturating_sub(250).max(1))
    })
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        4 => Just(Action::Client(OPEN.to_vec())),
        2 => prop_oneof![Just(b"tick\r\n".to_vec()), Just(OPEN[..20].to_vec()), Just(vec![0xff; 5_000])]
            .prop_map(Action::Client),
        2 => invalid_first_lines().prop_map(Action::Client),
        1 => Just(Action::ClientEof),
        1 => Just(Action::ClientReset),
        6 => Just(Action::Open),
        2 => Just(Action::Abandon),
        1 => Just(Action::Reject),
        1 => Just(Action::Fail),
        2 => Just(Action::Move),
        6 => Just(Action::Connected),
        1 => Just(Action::ConnectFailed),
        6 => member_lines().prop_map(Action::Member),
        1 => Just(Action::MemberEof),
        1 => Just(Action::MemberReset),
        2 => (1u16..6_000).prop_map(Action::WaitMs),
    ]
}

/// The state of the protocol after the front's steps so far. [`Model::observe`] panics when a step violates
/// the protocol.
#[derive(Default)]
struct Model {
    requested: bool,
    up: bool,
    end_reported: bool,
    flow_open: bool,
    connected: bool,
    closed: bool,
    sent_to_client: Vec<u8>,
    from_member: Vec<u8>,
}

impl Model {
    fn observe(&mut self, step: Step) {
        assert!(!self.closed, "{step:?} after the connection was closed");
        match step {
            Step::Notify(FrontEvent::ClientRequest(request)) => {
                assert!(!std::mem::replace(&mut self.requested, true), "a second request for one connection");
                // With a margin of 15 ms one answer was late on a busy machine.
                assert!(request.grace_ms <= 1_900.0, "no margin for the answer");
            }
            Step::Notify(FrontEvent::Up) => {
                assert!(self.connected && !self.up);
                self.up = true;
            }
            Step::Notify(FrontEvent::Ended(..)) => {
                assert!(!(self.up && self.end_reported), "the end of the connection was reported twice");
                self.end_reported = self.up;
            }
            Step::Dial(_) => {
                assert!(
                    self.requested && !self.up,
                    "a flow without a request, or for an established connection"
                );
                assert!(!std::mem::replace(&mut self.flow_open, true), "two flows open at once");
                self.connected = false;
            }
            Step::CloseMember | Step::ResetMember => (self.flow_open, self.connected) = (false, false),
            Step::Finish | Step::ResetClient => self.closed = true,
            _ => {}
        }
    }
}

fn run_actions(actions: Vec<Action>) {
    let site = Site { classes: vec!["chat".into()], tenants: vec!["acme".into()], ..Site::default() };
    let mut front = Session::new(0.0, Rc::new(PlatformSettings::new(&site)));
    let (mut model, mut now) = (Model::default(), 0.0);
    for action in actions {
        let sent;
        let input = match &action {
            Action::Client(bytes) if front.reads_client() => Input::Client(bytes),
            Action::ClientEof => Input::ClientEof,
            Action::ClientReset => Input::ClientReset,
            // The broker opens a flow, or gives a final answer, only for an unanswered request without an
            // open flow.
            Action::Open if model.requested && !model.flow_open && !model.up => {
                let (dial, member) = ("127.0.0.1:9".into(), "a".into());
                Input::Command(Command::Open { dial, member, wait_ms: 500.0 })
            }
            Action::Abandon if model.flow_open && !model.up => Input::Command(Command::Abandon),
            Action::Reject if model.requested && !model.flow_open => Input::Command(Command::Reject(40.0)),
            Action::Fail if model.requested && !model.flow_open => {
                Input::Command(Command::Fail(Failure::Deadline))
            }
            Action::Move if model.up && !model.end_reported => {
                Input::Command(Command::Move { latest: now + 800.0 })
            }
            Action::Connected if model.flow_open && !model.connected && !model.up => {
                model.connected = true;
                front.take(now, Input::MemberConnected);
                sent = std::mem::take(front.to_member());
                let text = String::from_utf8(sent).unwrap();
                assert_eq!(text, String::from_utf8_lossy(OPEN).replace("d=2000", "d=500"));
                Input::MemberWritten
            }
            Action::ConnectFailed if model.flow_open && !model.connected && !model.up => {
                Input::MemberConnectFailed
            }
            Action::Member(bytes) if model.connected && front.reads_member() => {
                model.from_member.extend_from_slice(bytes);
                Input::Member(bytes)
            }
            Action::MemberEof if model.connected => Input::MemberEof,
            Action::MemberReset if model.connected => Input::MemberReset,
            Action::WaitMs(ms) => {
                now += f64::from(*ms);
                Input::Tick
            }
            _ => continue,
        };
        if matches!(input, Input::Command(Command::Open { .. })) {
            model.from_member.clear();
        }
        if matches!(input, Input::MemberEof | Input::MemberReset) {
            model.connected = false;
        }
        front.take(now, input);
        while let Some(step) = front.step() {
            model.observe(step);
        }
        model.sent_to_client.append(front.to_client());
        if model.closed {
            break;
        }
    }
    check_output(&model);
}

fn check_output(model: &Model) {
    let text = String::from_utf8_lossy(&model.sent_to_client).into_owned();
    if model.up {
        // The client gets what the member sent, unchanged, and after it at most a MOVE between two lines.
        let before_move = model
            .sent_to_client
            .strip_suffix(b"MOVE\r\n")
            .filter(|_| !model.from_member.starts_with(&model.sent_to_client));
        let relayed = before_move.unwrap_or(&model.sent_to_client);
        assert!(model.from_member.starts_with(relayed), "bytes changed by the relay: {text:?}");
        assert!(before_move.is_none_or(|lines| lines.ends_with(b"\n")), "MOVE within a line: {text:?}");
    } else if model.closed && model.requested && !text.is_empty() {
        assert_eq!(text.matches("\r\n").count(), 1, "not exactly one final answer: {text:?}");
        assert!(["BUSY", "ERR", "BYE"].iter().any(|word| text.starts_with(word)), "{text:?}");
    } else if model.closed && !text.is_empty() {
        assert!(text.starts_with("ERR "), "{text:?}");
    }
}

#[test]
fn random_actions_never_violate_the_protocol() {
    let config = Config { cases: 4_000, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let any_actions = prop::collection::vec(action(), 1..30);
    // Half of the runs begin with an established connection, so that moves often meet unfinished lines.
    let established = [
        Action::Client(OPEN.to_vec()),
        Action::Open,
        Action::Connected,
        Action::Member(b"UP 77\r\n".to_vec()),
    ];
    let actions = (any::<bool>(), any_actions).prop_map(move |(is_established, actions)| {
        let first = if is_established { &established[..] } else { &[] };
        [first, &actions].concat()
    });
    runner
        .run(&actions, |actions| {
            run_actions(actions);
            Ok(())
        })
        .unwrap_or_else(|error| panic!("{error}"));
}

// ---- Single cases ----

fn session() -> Session {
    let site = Site { classes: vec!["chat".into()], tenants: vec!["acme".into()], ..Site::default() };
    Session::new(0.0, Rc::new(PlatformSettings::new(&site)))
}

fn drain_steps(front: &mut Session) -> Vec<Step> {
    std::iter::from_fn(|| front.step()).collect()
}

/// A session whose connection is established and whose steps and output so far are discarded.
fn established_session() -> Session {
    let mut front = session();
    front.take(0.0, Input::Client(OPEN));
    let open = Command::Open { dial: "127.0.0.1:9".into(), member: "a".into(), wait_ms: 500.0 };
    front.take(0.0, Input::Command(open));
    front.take(0.0, Input::MemberConnected);
    front.to_member().clear();
    front.take(0.0, Input::MemberWritten);
    front.take(1.0, Input::Member(b"UP 1\r\n"));
    drain_steps(&mut front);
    front.to_client().clear();
    front
}

#[test]
fn invalid_first_lines_are_answered_err_and_never_forwarded() {
    let long = vec![b'x'; 5_000];
    let unknown = b"OPEN 1 2 c=news,t=acme,d=2000\r\n";
    for bytes in [
        &b"HELLO\r\n"[..],
        &long,
        unknown,
        b"OPEN 1 2 c=chat,t=nobody,d=9\r\n",
        b"OPEN 1 2 c=chat,t=acme\r\n",
        b"OPEN 1 2 c=chat,t=acme,d=-5\r\n",
        b"OPEN 1 2 c=chat,t=acme,d=soon\r\n",
        b"OPEN 1 2 c=chat,t=acme,d=\r\n",
        b"OPEN 1 2 c=chat,t=acme,d=NaN\r\n",
        // Every pool member answers this line with an error.
        b"OPEN 1 2 c=chat,t=acme,d=99999999999999999999999\r\n",
        b"OPEN 1 2 c=chat,t=acme,d=2000,d=1\r\n",
        b"OPEN 1 2 c=chat,t=acme,d=2000,h=NaN\r\n",
        b"OPEN 1 2 c=chat,t=acme,d=2000,h=-1\r\n",
        b"OPEN 1 2 c=chat,t=acme,d=2000,h=1e999\r\n",
        b"OPEN 1 2 c=chat,t=acme,d=2000,x=inf\r\n",
        b"OPEN 1 c=chat,t=acme,d=2000\r\n",
        b"OPEN  2 c=chat,t=acme,d=2000\r\n",
        b"OPEN 1 2 c=chat,t=acme,d=2000\0\r\n",
        b"OPEN 1 \xff\xfe c=chat,t=acme,d=2000\r\n",
        b"frob 1\r\nOPEN 1 2 c=chat,t=acme,d=2000\r\n",
    ] {
        let mut front = session();
        front.take(0.0, Input::Client(bytes));
        let steps = drain_steps(&mut front);
        assert!(steps.contains(&Step::Finish) && steps.iter().any(|step| matches!(step, Step::Log { .. })));
        assert!(front.to_client().starts_with(b"ERR ") && front.to_member().is_empty());
    }
    let mut front = session();
    front.take(0.0, Input::Client(b"OPEN 1"));
    // The answer is due within 3 s of connecting, also when the line arrives byte by byte.
    for i in 1..20 {
        front.take(f64::from(i) * 100.0, Input::Client(b"1"));
    }
    assert!(front.due().unwrap() <= 2_500.0);
    front.take(2_500.0, Input::Tick);
    assert!(front.to_client().starts_with(b"ERR silent"));
    // The client ends in the middle of its first line.
    let mut front = session();
    front.take(0.0, Input::Client(&OPEN[..30]));
    front.take(1.0, Input::ClientEof);
    assert!(front.to_client().starts_with(b"ERR early close") && front.to_member().is_empty());
}

#[test]
fn connection_left_open_after_a_readiness_check_is_closed_without_an_error() {
    let mut front = session();
    front.take(0.0, Input::Client(b"PING\r\n"));
    front.take(100.0, Input::Command(Command::Ready));
    assert_eq!(front.to_client(), b"PONG\r\n");
    front.take(4_000.0, Input::Tick);
    assert_eq!(front.to_client(), b"PONG\r\n");
    assert_eq!(drain_steps(&mut front).last(), Some(&Step::Finish));
}

/// Guards against memory that grows without end while a client sends readiness checks at full speed and reads no
/// answer (picture b of issue 54).
#[test]
fn unread_answers_to_readiness_checks_are_bounded() {
    let mut front = session();
    let mut now = 0.0;
    for _ in 0..50_000 {
        if front.reads_client() {
            front.take(now, Input::Client(b"PING\r\n"));
        }
        if drain_steps(&mut front).contains(&Step::Notify(FrontEvent::Ping)) {
            front.take(now, Input::Command(Command::Ready));
        }
        now += 0.01;
    }
    assert!(front.to_client().len() < 20_000, "{} bytes", front.to_client().len());
    now += 2_500.0;
    front.take(now, Input::Tick);
    assert_eq!(drain_steps(&mut front).last(), Some(&Step::Finish));
}

/// Guards against a line of the member that the node ends itself, by writing a line end before `MOVE` (review
/// case 6).
#[test]
fn move_waits_for_the_end_of_a_line_up_to_a_timeout() {
    let mut front = established_session();
    front.take(2.0, Input::Member(b"half"));
    front.take(3.0, Input::Command(Command::Move { latest: 600.0 }));
    assert_eq!(front.to_client(), b"");
    front.take(4.0, Input::Member(b" line\r\nnext"));
    assert_eq!(front.to_client(), b"half line\r\nMOVE\r\n");
    assert_eq!(drain_steps(&mut front).last(), Some(&Step::Finish));
    let mut front = established_session();
    front.take(2.0, Input::Member(b"half"));
    front.take(3.0, Input::Command(Command::Move { latest: 600.0 }));
    assert_eq!(front.due(), Some(600.0));
    front.take(600.0, Input::Tick);
    assert_eq!(front.to_client(), b"MOVE\r\n");
    assert_eq!(drain_steps(&mut front), [Step::CloseMember, Step::Finish]);
}

/// Guards against a line of the member that the node ends itself (review case 6), where the line is too long to
/// be held back and the client has got its start: it gets the rest, or the end of its connection.
#[test]
fn move_within_a_line_that_is_partly_relayed_waits_or_closes_without_a_line_end() {
    let start = [b'x'; 4_200];
    let partly_relayed = || {
        let mut front = established_session();
        front.take(2.0, Input::Member(&start));
        front.take(3.0, Input::Command(Command::Move { latest: 800.0 }));
        assert_eq!(front.to_client(), &start);
        front
    };
    let mut front = partly_relayed();
    front.take(4.0, Input::Client(b"tick\r\n"));
    assert_eq!(front.to_member(), b"tick\r\n", "the client's lines are relayed until it is moved");
    front.take(5.0, Input::Member(b"more"));
    front.take(6.0, Input::Member(b" line\r\nnext"));
    assert!(front.to_client().ends_with(b"xmore line\r\nMOVE\r\n"));
    for (input, last) in [
        (Input::Tick, Step::Finish),
        (Input::MemberEof, Step::Finish),
        (Input::MemberReset, Step::ResetClient),
    ] {
        let mut front = partly_relayed();
        front.take(800.0, input);
        assert_eq!(front.to_client(), &start);
        assert_eq!(drain_steps(&mut front).last(), Some(&last));
    }
}

/// Guards against bytes of the member that are lost when its connection ends while they are held back.
#[test]
fn the_start_of_a_line_is_relayed_when_its_member_ends() {
    let mut front = established_session();
    front.take(2.0, Input::Member(b"line\r\nhalf"));
    assert_eq!(front.to_client(), b"line\r\n");
    front.take(3.0, Input::MemberEof);
    assert_eq!(front.to_client(), b"line\r\nhalf");
    assert!(drain_steps(&mut front).contains(&Step::ShutdownClient));
}

#[test]
fn mute_connection_is_moved_within_seven_seconds() {
    let mut front = established_session();
    front.take(2_000.0, Input::Client(b"tick\r\n"));
    let due = front.due().unwrap();
    assert!(due <= 7_000.0);
    front.take(due, Input::Tick);
    assert_eq!(front.to_client(), b"MOVE\r\n");
    assert!(drain_steps(&mut front).iter().any(|step| matches!(step, Step::Notify(FrontEvent::Ended(..)))));
    // The member has fallen silent within a line.
    let mut front = established_session();
    front.take(2_000.0, Input::Client(b"tick\r\n"));
    front.take(2_001.0, Input::Member(b"ti"));
    for _ in 0..2 {
        let due = front.due().unwrap();
        assert!(due <= 7_000.0);
        front.take(due, Input::Tick);
    }
    assert_eq!(front.to_client(), b"MOVE\r\n");
}

#[test]
fn half_closes_and_resets_are_relayed_as_they_are() {
    let mut front = established_session();
    front.take(2.0, Input::MemberEof);
    assert!(drain_steps(&mut front).contains(&Step::ShutdownClient));
    front.take(3.0, Input::Client(b"last\r\n"));
    assert_eq!(front.to_member(), b"last\r\n", "the client can still send after the member has ended");
    front.take(1_000.0, Input::Tick);
    assert_eq!(drain_steps(&mut front), [Step::Finish]);
    let mut front = established_session();
    front.take(2.0, Input::MemberReset);
    assert_eq!(drain_steps(&mut front).last(), Some(&Step::ResetClient));
    let mut front = established_session();
    front.take(2.0, Input::ClientEof);
    assert!(drain_steps(&mut front).contains(&Step::ShutdownMember));
    front.take(3.0, Input::Member(b"BYE\r\n"));
    front.take(3.0, Input::MemberEof);
    let ok = |step: &Step| matches!(step, Step::Notify(FrontEvent::Ended(hopmoor::Outcome::Ok, None)));
    assert!(drain_steps(&mut front).iter().any(ok));
}
