//! Tests of the XMPP front's state machine without sockets and with a simulated clock: when another member
//! may take over a stream, and how streams end.
use hopmoor::Outcome;
use hopmoor::broker::{Command, Failure, FrontEvent};
use hopmoor::front::{Front, Input, Step};
use hopmoor::xmpp::{Session, XmppSettings};
use std::rc::Rc;

const CLIENT_HEADER: &str = "<stream:stream to='chat.example' xmlns='jabber:client' \
    xmlns:stream='http://etherx.jabber.org/streams' version='1.0'>";
const MEMBER_HEADER: &str = "<stream:stream from='chat.example' id='s1' xmlns='jabber:client' \
    xmlns:stream='http://etherx.jabber.org/streams' version='1.0'>";
const BIND_RESULT: &str = "<iq type='result' id='b'><bind xmlns='urn:ietf:params:xml:ns:xmpp-bind'/></iq>";

struct TestStream {
    front: Session,
    steps: Vec<Step>,
}

/// A stream whose client has sent its header.
fn stream() -> TestStream {
    stream_with(10_000)
}

/// The same, where a stanza may have this length.
fn stream_with(stanza_bytes: usize) -> TestStream {
    stream_of(Rc::new(settings(stanza_bytes)))
}

fn settings(stanza_bytes: usize) -> XmppSettings {
    XmppSettings {
        services: vec![("chat.example".into(), 4_000.0)],
        teams: vec![vec!["kiln.example".into()]],
        default_team: Some(0),
        stanza_bytes,
        see_other: "127.0.0.1:5222".into(),
        ..XmppSettings::default()
    }
}

fn stream_of(settings: Rc<XmppSettings>) -> TestStream {
    let mut stream = TestStream { front: Session::new(0.0, settings), steps: Vec::new() };
    stream.take(Input::Client(CLIENT_HEADER.as_bytes()));
    stream
}

impl TestStream {
    fn take(&mut self, input: Input<'_>) {
        self.front.take(1.0, input);
        self.steps.extend(std::iter::from_fn(|| self.front.step()));
    }

    fn member_sends(&mut self, text: &str) {
        self.take(Input::Member(text.as_bytes()));
    }

    fn open_flow(&mut self) {
        let open = Command::Open { dial: "127.0.0.1:9".into(), member: "a".into(), wait_ms: 500.0 };
        self.take(Input::Command(open));
        self.take(Input::MemberConnected);
    }

    fn take_client_output(&mut self) -> String {
        String::from_utf8(std::mem::take(self.front.to_client())).unwrap()
    }

    fn take_member_output(&mut self) -> String {
        String::from_utf8(std::mem::take(self.front.to_member())).unwrap()
    }

    fn notified(&self, event: &FrontEvent) -> bool {
        self.steps.contains(&Step::Notify(event.clone()))
    }
}

#[test]
fn another_member_can_take_over_until_the_client_has_received_bytes() {
    let mut stream = stream();
    stream.open_flow();
    assert_eq!(stream.take_member_output(), CLIENT_HEADER);
    stream.member_sends(&format!(
        "{MEMBER_HEADER}<stream:error><resource-constraint xmlns='urn:ietf:params:xml:ns:xmpp-streams'/>\
         </stream:error>"
    ));
    assert!(
        stream.notified(&FrontEvent::Ended(Outcome::Full, None)) && !stream.notified(&FrontEvent::Committed)
    );
    assert_eq!(stream.take_client_output(), "");
    stream.front.to_member().clear();
    stream.open_flow();
    assert_eq!(
        stream.take_member_output(),
        CLIENT_HEADER,
        "the next member is sent all that the client has sent"
    );
    let features = "<stream:features/>";
    stream.member_sends(&format!("{MEMBER_HEADER}{features}"));
    assert_eq!(stream.take_client_output(), format!("{MEMBER_HEADER}{features}"));
    assert!(stream.notified(&FrontEvent::Committed) && !stream.notified(&FrontEvent::Up));
    stream.member_sends(BIND_RESULT);
    assert!(stream.notified(&FrontEvent::Up));
}

#[test]
fn each_negative_answer_is_one_stream_error_after_one_header() {
    for (command, condition) in [
        (Command::Reject(400.0), "resource-constraint"),
        (Command::Fail(Failure::Deadline), "connection-timeout"),
        (Command::Fail(Failure::Broken), "remote-connection-failed"),
        (Command::Move { latest: 0.0 }, "see-other-host"),
    ] {
        let mut stream = stream();
        stream.take(Input::Command(command));
        let text = stream.take_client_output();
        assert_eq!((text.matches("<stream:stream ").count(), text.matches("<stream:error>").count()), (1, 1));
        assert!(text.contains(&format!("<{condition} ")) && text.ends_with("</stream:stream>"), "{text}");
        assert_eq!(stream.steps.last(), Some(&Step::Finish));
        stream.take(Input::Command(Command::Fail(Failure::Deadline)));
        assert_eq!(stream.take_client_output(), "", "nothing is sent after the answer");
    }
}

#[test]
fn failure_during_negotiation_is_reported_and_the_members_error_relayed() {
    let mut stream = stream();
    stream.open_flow();
    stream.member_sends(&format!("{MEMBER_HEADER}<stream:features/>"));
    stream.take_client_output();
    let error = "<stream:error><system-shutdown xmlns='urn:ietf:params:xml:ns:xmpp-streams'/></stream:error>";
    stream.member_sends(error);
    assert!(stream.notified(&FrontEvent::Ended(Outcome::Cancelled, None)));
    stream.take(Input::Command(Command::Fail(Failure::Broken)));
    assert_eq!(stream.take_client_output(), format!("{error}</stream:stream>"));
}

#[test]
fn starttls_is_refused_and_an_abandoned_flow_is_closed_gracefully() {
    let mut stream = stream();
    stream.open_flow();
    stream.take_member_output();
    stream.take(Input::Command(Command::Abandon));
    assert_eq!(stream.take_member_output(), "</stream:stream>");
    assert_eq!(stream.steps.last(), Some(&Step::CloseMember));
    stream.open_flow();
    stream.take_member_output();
    stream.take(Input::Client(b"<starttls xmlns='urn:ietf:params:xml:ns:xmpp-tls'/>"));
    assert!(
        stream
            .take_client_output()
            .ends_with("<failure xmlns='urn:ietf:params:xml:ns:xmpp-tls'/></stream:stream>")
    );
    assert_eq!(stream.take_member_output(), "</stream:stream>");
    assert!(stream.notified(&FrontEvent::Left));
}

#[test]
fn silent_client_gets_connection_timeout() {
    let settings = XmppSettings { stanza_bytes: 10_000, ..XmppSettings::default() };
    let mut front = Session::new(0.0, Rc::new(settings));
    let due = front.due().unwrap();
    // The answer is due within 3 s of connecting, also when the header arrives byte by byte.
    assert!(
        (2_300.0..=2_500.0).contains(&due),
        "a client may take 2 s to write its header and gets an answer within 3 s"
    );
    for (i, byte) in (0..).zip(CLIENT_HEADER.as_bytes().chunks(1).take(20)) {
        front.take(f64::from(i) * 100.0, Input::Client(byte));
    }
    assert_eq!(front.due(), Some(due));
    front.take(due, Input::Tick);
    assert!(String::from_utf8_lossy(front.to_client()).contains("<connection-timeout "));
}

/// Guards against a client whose end goes unseen behind what it sent before, and whose stream is negotiated with
/// further members for nobody (picture c of issue 54).
#[test]
fn the_end_of_a_client_is_seen_behind_much_that_no_member_has_read() {
    let mut stream = stream_with(65_536);
    stream.open_flow();
    let stanza = format!("<message>{}</message>", "x".repeat(4_000));
    for _ in 0..10 {
        assert!(stream.front.reads_client());
        stream.take(Input::Client(stanza.as_bytes()));
    }
    stream.take(Input::ClientEof);
    assert!(stream.notified(&FrontEvent::Left));
    assert_eq!(stream.steps.last(), Some(&Step::Finish));
}

/// Guards against memory that peers decide (picture a of issue 54): hundreds of clients that stop half way through a
/// long stanza hold no more than the shared budget, and the other streams go on.
#[test]
fn half_stanzas_of_many_clients_are_bounded_and_end_in_time() {
    let settings = Rc::new(settings(65_536));
    let mut streams: Vec<_> = (0..400).map(|_| stream_of(settings.clone())).collect();
    let half = format!("<message>{}", "x".repeat(40_000));
    let is_refused = |stream: &TestStream| stream.steps.last() == Some(&Step::Finish);
    for stream in &mut streams {
        stream.take(Input::Client(half.as_bytes()));
    }
    let kept = streams.iter().filter(|stream| !is_refused(stream)).count();
    assert!((20..200).contains(&kept), "{kept} of 400 hold {} bytes each", half.len());
    for stream in streams.iter_mut().filter(|stream| is_refused(stream)) {
        assert!(stream.take_client_output().contains("<resource-constraint "));
    }
    let mut other = stream_of(settings);
    other.take(Input::Client(format!("<message>{}</message>", "x".repeat(8_000)).as_bytes()));
    assert!(!is_refused(&other), "a stanza of the length that RFC 6120 demands");
    for stream in streams.iter_mut().filter(|stream| !is_refused(stream)) {
        let due = stream.front.due().unwrap();
        assert!(due <= 31_000.0);
        stream.front.take(due, Input::Tick);
        assert!(stream.take_client_output().contains("<connection-timeout "));
    }
}

/// Guards against memory and time that grow with the number of fields in a head (picture a of issue 54).
#[test]
fn a_tag_of_very_many_attributes_is_refused() {
    let attributes = |count: usize| (0..count).map(|n| format!(" a{n}=''")).collect::<String>();
    for (count, is_refused) in [(64, false), (65, true), (1_000, true)] {
        let mut stream = stream();
        // Refused before the tag ends.
        stream.take(Input::Client(format!("<message{} ", attributes(count)).as_bytes()));
        let refusal = stream.take_client_output().contains("<policy-violation ");
        assert_eq!(refusal, is_refused, "{count} attributes");
    }
}
