//! The XMPP front by itself, on a clock of its own: who may take over, and what each end looks like.
use hopmoor::Outcome;
use hopmoor::broker::{Command, Failure, FrontEvent};
use hopmoor::front::{Front, Input, Step};
use hopmoor::xmpp::{Session, XmppSettings};
use std::rc::Rc;

const HEADER: &str = "<stream:stream to='chat.example' xmlns='jabber:client' \
    xmlns:stream='http://etherx.jabber.org/streams' version='1.0'>";
const REPLY: &str = "<stream:stream from='chat.example' id='s1' xmlns='jabber:client' \
    xmlns:stream='http://etherx.jabber.org/streams' version='1.0'>";
const BOUND: &str = "<iq type='result' id='b'><bind xmlns='urn:ietf:params:xml:ns:xmpp-bind'/></iq>";

struct Stream {
    front: Session,
    steps: Vec<Step>,
}

fn stream() -> Stream {
    let realm = XmppSettings {
        services: vec![("chat.example".into(), 4_000.0)],
        teams: vec![vec!["kiln.example".into()]],
        default_team: Some(0),
        stanza_bytes: 10_000,
        see_other: "127.0.0.1:5222".into(),
    };
    let mut stream = Stream { front: Session::new(0.0, Rc::new(realm)), steps: Vec::new() };
    stream.take(Input::Client(HEADER.as_bytes()));
    stream
}

impl Stream {
    fn take(&mut self, input: Input<'_>) {
        self.front.take(1.0, input);
        self.steps.extend(std::iter::from_fn(|| self.front.step()));
    }

    fn server(&mut self, text: &str) {
        self.take(Input::Member(text.as_bytes()));
    }

    fn open(&mut self) {
        let open = Command::Open { dial: "127.0.0.1:9".into(), member: "a".into(), wait_ms: 500.0 };
        self.take(Input::Command(open));
        self.take(Input::MemberConnected);
    }

    fn client_sees(&mut self) -> String {
        String::from_utf8(std::mem::take(self.front.to_client())).unwrap()
    }

    fn member_sees(&mut self) -> String {
        String::from_utf8(std::mem::take(self.front.to_member())).unwrap()
    }

    fn said(&self, said: &FrontEvent) -> bool {
        self.steps.contains(&Step::Notify(said.clone()))
    }
}

#[test]
fn another_member_takes_over_while_the_client_has_heard_nothing() {
    let mut stream = stream();
    stream.open();
    assert_eq!(stream.member_sees(), HEADER);
    stream.server(&format!(
        "{REPLY}<stream:error><resource-constraint xmlns='urn:ietf:params:xml:ns:xmpp-streams'/></stream:error>"
    ));
    assert!(stream.said(&FrontEvent::Ended(Outcome::Full, None)) && !stream.said(&FrontEvent::Committed));
    assert_eq!(stream.client_sees(), "");
    stream.front.to_member().clear();
    stream.open();
    assert_eq!(stream.member_sees(), HEADER, "the whole opening again");
    let features = "<stream:features/>";
    stream.server(&format!("{REPLY}{features}"));
    assert_eq!(stream.client_sees(), format!("{REPLY}{features}"));
    assert!(stream.said(&FrontEvent::Committed) && !stream.said(&FrontEvent::Up));
    stream.server(BOUND);
    assert!(stream.said(&FrontEvent::Up));
}

#[test]
fn each_answer_is_one_stream_error_behind_one_header() {
    for (command, condition) in [
        (Command::Reject(400.0), "resource-constraint"),
        (Command::Fail(Failure::Deadline), "connection-timeout"),
        (Command::Fail(Failure::Broken), "remote-connection-failed"),
        (Command::Move, "see-other-host"),
    ] {
        let mut stream = stream();
        stream.take(Input::Command(command));
        let text = stream.client_sees();
        assert_eq!((text.matches("<stream:stream ").count(), text.matches("<stream:error>").count()), (1, 1));
        assert!(text.contains(&format!("<{condition} ")) && text.ends_with("</stream:stream>"), "{text}");
        assert_eq!(stream.steps.last(), Some(&Step::Finish));
        stream.take(Input::Command(Command::Fail(Failure::Deadline)));
        assert_eq!(stream.client_sees(), "", "nothing after the answer");
    }
}

#[test]
fn a_member_that_breaks_off_half_way_is_told_and_its_own_error_passed_on() {
    let mut stream = stream();
    stream.open();
    stream.server(&format!("{REPLY}<stream:features/>"));
    stream.client_sees();
    let error = "<stream:error><system-shutdown xmlns='urn:ietf:params:xml:ns:xmpp-streams'/></stream:error>";
    stream.server(error);
    assert!(stream.said(&FrontEvent::Ended(Outcome::Cancelled, None)));
    stream.take(Input::Command(Command::Fail(Failure::Broken)));
    assert_eq!(stream.client_sees(), format!("{error}</stream:stream>"));
}

#[test]
fn tls_is_declined_and_a_flow_given_up_is_ended_in_good_order() {
    let mut stream = stream();
    stream.open();
    stream.member_sees();
    stream.take(Input::Command(Command::Abandon));
    assert_eq!(stream.member_sees(), "</stream:stream>");
    assert_eq!(stream.steps.last(), Some(&Step::CloseMember));
    stream.open();
    stream.member_sees();
    stream.take(Input::Client(b"<starttls xmlns='urn:ietf:params:xml:ns:xmpp-tls'/>"));
    assert!(
        stream.client_sees().ends_with("<failure xmlns='urn:ietf:params:xml:ns:xmpp-tls'/></stream:stream>")
    );
    assert_eq!(stream.member_sees(), "</stream:stream>");
    assert!(stream.said(&FrontEvent::Left));
}

#[test]
fn a_silent_client_is_told_so() {
    let realm = XmppSettings { stanza_bytes: 10_000, ..XmppSettings::default() };
    let mut front = Session::new(0.0, Rc::new(realm));
    let due = front.due().unwrap();
    // Owed within 3 s of connecting; a header that drips in does not put it off.
    assert!((2_300.0..=2_500.0).contains(&due), "it may take 2 s to write, and is owed an answer within 3 s");
    for (at, byte) in (0..).zip(HEADER.as_bytes().chunks(1).take(20)) {
        front.take(f64::from(at) * 100.0, Input::Client(byte));
    }
    assert_eq!(front.due(), Some(due));
    front.take(due, Input::Tick);
    assert!(String::from_utf8_lossy(front.to_client()).contains("<connection-timeout "));
}
