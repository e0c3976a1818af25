//! A model of one connection's states on the platform's front, checked with random steps: whatever clients,
//! members and the broker do, in whatever pieces, the front keeps to the protocol.
use hopmoor::broker::{Command, Failure, FrontEvent};
use hopmoor::config::Site;
use hopmoor::front::{Front, Input, Step};
use hopmoor::platform::{PlatformSettings, Session};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::rc::Rc;

const OPEN: &[u8] = b"OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,t=acme,d=2000,g=5c0f\r\n";

#[derive(Clone, Debug)]
enum Do {
    Client(Vec<u8>),
    ClientEof,
    ClientReset,
    Open,
    Abandon,
    Reject,
    Fail,
    Move,
    Connected,
    Refused,
    Member(Vec<u8>),
    MemberEof,
    MemberReset,
    Wait(u16),
}

fn lines() -> impl Strategy<Value = Vec<u8>> {
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
    prop::collection::vec(line, 1..4).prop_map(|parts| parts.concat())
}

/// What no client in its right mind sends: a first line with something in it replaced, or many at once.
fn bad() -> impl Strategy<Value = Vec<u8>> {
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

fn step() -> impl Strategy<Value = Do> {
    prop_oneof![
        4 => Just(Do::Client(OPEN.to_vec())),
        2 => prop_oneof![Just(b"tick\r\n".to_vec()), Just(OPEN[..20].to_vec()), Just(vec![0xff; 5_000])]
            .prop_map(Do::Client),
        2 => bad().prop_map(Do::Client),
        1 => Just(Do::ClientEof),
        1 => Just(Do::ClientReset),
        6 => Just(Do::Open),
        2 => Just(Do::Abandon),
        1 => Just(Do::Reject),
        1 => Just(Do::Fail),
        2 => Just(Do::Move),
        6 => Just(Do::Connected),
        1 => Just(Do::Refused),
        6 => lines().prop_map(Do::Member),
        1 => Just(Do::MemberEof),
        1 => Just(Do::MemberReset),
        2 => (1u16..6_000).prop_map(Do::Wait),
    ]
}

/// What must hold, whatever the front does inside.
#[derive(Default)]
struct Model {
    asked: bool,
    up: bool,
    told_end: bool,
    flow: bool,
    connected: bool,
    over: bool,
    sent: Vec<u8>,
    from_server: Vec<u8>,
}

impl Model {
    fn see(&mut self, step: Step) {
        assert!(!self.over, "{step:?} after the end");
        match step {
            Step::Notify(FrontEvent::ClientRequest(ask)) => {
                assert!(!std::mem::replace(&mut self.asked, true), "asked twice");
                // With 15 ms one answer came too late on a busy machine.
                assert!(ask.grace_ms <= 1_900.0, "no margin for the answer");
            }
            Step::Notify(FrontEvent::Up) => {
                assert!(self.connected && !self.up);
                self.up = true;
            }
            Step::Notify(FrontEvent::Ended(..)) => {
                assert!(!(self.up && self.told_end), "an end told twice");
                self.told_end = self.up;
            }
            Step::Dial(_) => {
                assert!(self.asked && !self.up, "a flow for nothing");
                assert!(!std::mem::replace(&mut self.flow, true), "two flows out");
                self.connected = false;
            }
            Step::CloseMember | Step::ResetMember => (self.flow, self.connected) = (false, false),
            Step::Finish | Step::ResetClient => self.over = true,
            _ => {}
        }
    }
}

fn play(steps: Vec<Do>) {
    let site = Site { classes: vec!["chat".into()], tenants: vec!["acme".into()], ..Site::default() };
    let mut front = Session::new(0.0, Rc::new(PlatformSettings::new(&site)));
    let (mut model, mut now) = (Model::default(), 0.0);
    for step in steps {
        let sent;
        let input = match &step {
            Do::Client(bytes) if front.reads_client() => Input::Client(bytes),
            Do::ClientEof => Input::ClientEof,
            Do::ClientReset => Input::ClientReset,
            // The broker opens a flow, or answers, only while it is owed one.
            Do::Open if model.asked && !model.flow && !model.up => {
                let (dial, member) = ("127.0.0.1:9".into(), "a".into());
                Input::Command(Command::Open { dial, member, wait_ms: 500.0 })
            }
            Do::Abandon if model.flow && !model.up => Input::Command(Command::Abandon),
            Do::Reject if model.asked && !model.flow => Input::Command(Command::Reject(40.0)),
            Do::Fail if model.asked && !model.flow => Input::Command(Command::Fail(Failure::Deadline)),
            Do::Move if model.up && !model.told_end => Input::Command(Command::Move),
            Do::Connected if model.flow && !model.connected && !model.up => {
                model.connected = true;
                front.take(now, Input::MemberConnected);
                sent = std::mem::take(front.to_member());
                let text = String::from_utf8(sent).unwrap();
                assert_eq!(text, String::from_utf8_lossy(OPEN).replace("d=2000", "d=500"));
                Input::MemberWritten
            }
            Do::Refused if model.flow && !model.connected && !model.up => Input::MemberConnectFailed,
            Do::Member(bytes) if model.connected && front.reads_member() => {
                model.from_server.extend_from_slice(bytes);
                Input::Member(bytes)
            }
            Do::MemberEof if model.connected => Input::MemberEof,
            Do::MemberReset if model.connected => Input::MemberReset,
            Do::Wait(ms) => {
                now += f64::from(*ms);
                Input::Tick
            }
            _ => continue,
        };
        if matches!(input, Input::Command(Command::Open { .. })) {
            model.from_server.clear();
        }
        if matches!(input, Input::MemberEof | Input::MemberReset) {
            model.connected = false;
        }
        front.take(now, input);
        while let Some(step) = front.step() {
            model.see(step);
        }
        model.sent.append(front.to_client());
        if model.over {
            break;
        }
    }
    check(&model);
}

fn check(model: &Model) {
    let text = String::from_utf8_lossy(&model.sent).into_owned();
    if model.up {
        // What the member sent, unchanged; then at most MOVE, between two lines.
        let own =
            model.sent.strip_suffix(b"MOVE\r\n").filter(|_| !model.from_server.starts_with(&model.sent));
        let passed = own.unwrap_or(&model.sent);
        let passed =
            passed.strip_suffix(b"\r\n").filter(|_| !model.from_server.starts_with(passed)).unwrap_or(passed);
        assert!(model.from_server.starts_with(passed), "changed on the way: {text:?}");
    } else if model.over && model.asked && !text.is_empty() {
        assert_eq!(text.matches("\r\n").count(), 1, "one answer: {text:?}");
        assert!(["BUSY", "ERR", "BYE"].iter().any(|word| text.starts_with(word)), "{text:?}");
    } else if model.over && !text.is_empty() {
        assert!(text.starts_with("ERR "), "{text:?}");
    }
}

#[test]
fn random_steps_keep_the_protocol() {
    let config = Config { cases: 4_000, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = prop::collection::vec(step(), 1..30);
    runner
        .run(&steps, |steps| {
            play(steps);
            Ok(())
        })
        .unwrap_or_else(|error| panic!("{error}"));
}

// ---- Single cases ----

fn session() -> Session {
    let site = Site { classes: vec!["chat".into()], tenants: vec!["acme".into()], ..Site::default() };
    Session::new(0.0, Rc::new(PlatformSettings::new(&site)))
}

fn said(front: &mut Session) -> Vec<Step> {
    std::iter::from_fn(|| front.step()).collect()
}

fn up() -> Session {
    let mut front = session();
    front.take(0.0, Input::Client(OPEN));
    let open = Command::Open { dial: "127.0.0.1:9".into(), member: "a".into(), wait_ms: 500.0 };
    front.take(0.0, Input::Command(open));
    front.take(0.0, Input::MemberConnected);
    front.to_member().clear();
    front.take(0.0, Input::MemberWritten);
    front.take(1.0, Input::Member(b"UP 1\r\n"));
    said(&mut front);
    front.to_client().clear();
    front
}

#[test]
fn bad_first_lines_get_a_failure_and_are_never_forwarded() {
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
        // Members answer this one with an error, all of them.
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
        let steps = said(&mut front);
        assert!(steps.contains(&Step::Finish) && steps.iter().any(|step| matches!(step, Step::Log { .. })));
        assert!(front.to_client().starts_with(b"ERR ") && front.to_member().is_empty());
    }
    let mut front = session();
    front.take(0.0, Input::Client(b"OPEN 1"));
    // Owed within 3 s of connecting; a drip does not put it off.
    for at in 1..20 {
        front.take(f64::from(at) * 100.0, Input::Client(b"1"));
    }
    assert!(front.due().unwrap() <= 2_500.0);
    front.take(2_500.0, Input::Tick);
    assert!(front.to_client().starts_with(b"ERR silent"));
    // A half command, then the end.
    let mut front = session();
    front.take(0.0, Input::Client(&OPEN[..30]));
    front.take(1.0, Input::ClientEof);
    assert!(front.to_client().starts_with(b"ERR early close") && front.to_member().is_empty());
}

#[test]
fn a_readiness_check_that_stays_is_closed_without_a_word() {
    let mut front = session();
    front.take(0.0, Input::Client(b"PING\r\n"));
    front.take(100.0, Input::Command(Command::Ready));
    assert_eq!(front.to_client(), b"PONG\r\n");
    front.take(4_000.0, Input::Tick);
    assert_eq!(front.to_client(), b"PONG\r\n");
    assert_eq!(said(&mut front).last(), Some(&Step::Finish));
}

#[test]
fn move_waits_for_the_end_of_a_line_and_not_for_ever() {
    let mut front = up();
    front.take(2.0, Input::Member(b"half"));
    front.take(3.0, Input::Command(Command::Move));
    assert_eq!(front.to_client(), b"half");
    front.take(4.0, Input::Member(b" line\r\nnext"));
    assert_eq!(front.to_client(), b"half line\r\nMOVE\r\n");
    assert_eq!(said(&mut front).last(), Some(&Step::Finish));
    let mut front = up();
    front.take(2.0, Input::Member(b"half"));
    front.take(3.0, Input::Command(Command::Move));
    front.take(400.0, Input::Tick);
    assert_eq!(front.to_client(), b"half\r\nMOVE\r\n");
}

#[test]
fn a_mute_connection_is_moved_within_seven_seconds() {
    let mut front = up();
    front.take(2_000.0, Input::Client(b"tick\r\n"));
    let due = front.due().unwrap();
    assert!(due <= 7_000.0);
    front.take(due, Input::Tick);
    assert_eq!(front.to_client(), b"MOVE\r\n");
    assert!(said(&mut front).iter().any(|step| matches!(step, Step::Notify(FrontEvent::Ended(..)))));
}

#[test]
fn ends_pass_on_as_they_came() {
    let mut front = up();
    front.take(2.0, Input::MemberEof);
    assert!(said(&mut front).contains(&Step::ShutdownClient));
    front.take(3.0, Input::Client(b"last\r\n"));
    assert_eq!(front.to_member(), b"last\r\n", "the other direction goes on");
    front.take(1_000.0, Input::Tick);
    assert_eq!(said(&mut front), [Step::Finish]);
    let mut front = up();
    front.take(2.0, Input::MemberReset);
    assert_eq!(said(&mut front).last(), Some(&Step::ResetClient));
    let mut front = up();
    front.take(2.0, Input::ClientEof);
    assert!(said(&mut front).contains(&Step::ShutdownMember));
    front.take(3.0, Input::Member(b"BYE\r\n"));
    front.take(3.0, Input::MemberEof);
    let ok = |step: &Step| matches!(step, Step::Notify(FrontEvent::Ended(hopmoor::Outcome::Ok, None)));
    assert!(said(&mut front).iter().any(ok));
}
