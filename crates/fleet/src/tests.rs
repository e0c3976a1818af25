//! Messages from a malicious node that holds the key, and from nodes of other versions.

use crate::wire::{Entry, Frame, ReportedState};
use crate::*;
use hopmoor_seal::KEY_BYTES;

fn keys() -> Keys {
    Keys::new(1, [7; KEY_BYTES])
}

fn id(name: &str, port: u16) -> Id {
    Id::new(name, 5, ([127, 0, 0, 1], port).into())
}

fn node(name: &str, port: u16) -> Fleet {
    let setup = Setup { id: id(name, port), seeds: vec![], keys: keys(), seed: [port as u8; 32] };
    Fleet::new(1_000, setup, NodeInfo { ready: Readiness::Serving, ..NodeInfo::default() })
}

fn seal_frame(frame: &Frame) -> Vec<u8> {
    hopmoor_seal::seal(&keys(), Kind::Frame, &frame.write().unwrap(), [3; NONCE_BYTES]).unwrap()
}

/// Has the node start an exchange and answers it with these entries.
fn answer_exchange(fleet: &mut Fleet, entries: Vec<Entry>) -> Result<Option<Vec<u8>>, Refused> {
    let (mut exchange, hello) = fleet.call().unwrap();
    let plain = hopmoor_seal::open(&keys(), Kind::Frame, &hello).unwrap();
    let Ok(Frame::Hello { challenge, .. }) = Frame::read(&plain) else { panic!("no Hello frame") };
    let state = Frame::State { from: id("x", 9), challenge, next_challenge: None, entries };
    fleet.frame(2_000, &mut exchange, &seal_frame(&state))
}

fn invented_entry(number: usize) -> Entry {
    let name = format!("made-up-{number}");
    let record = InfoRecord { name: name.as_str().into(), incarnation: 5, version: 1, fields: vec![4, 1, 1] };
    Entry { id: id(&name, 9), refutations: 0, state: ReportedState::Alive, dead_ms: 0, record: Some(record) }
}

#[test]
fn twenty_thousand_invented_names_are_bounded_and_reported_once() {
    let mut fleet = node("n", 1);
    answer_exchange(&mut fleet, vec![Entry { record: None, ..invented_entry(0) }]).unwrap();
    answer_exchange(&mut fleet, (0..10_000).map(invented_entry).collect()).unwrap();
    answer_exchange(&mut fleet, (10_000..20_000).map(invented_entry).collect()).unwrap();
    let view = fleet.view(2_000);
    assert_eq!(view.members.len(), MAX_KNOWN_NODES + 1);
    assert!(fleet.info_table.borrow().len() <= MAX_KNOWN_NODES);
    let full_events = std::iter::from_fn(|| fleet.event()).filter(|event| *event == Event::Full).count();
    assert_eq!(full_events, 1);
    // With a full view, a datagram from an unknown node that reports further unknown nodes changes nothing.
    let mut output = FocaOutput::default();
    let mut stranger = node("stranger", 2);
    stranger.apply_members(
        1_000,
        (0..20).map(|n| foca::Member::alive(id(&format!("more-{n}"), 9))).collect(),
        true,
    );
    let _ = stranger.foca.announce(fleet.id.clone(), &mut output);
    stranger.apply_output(1_000, output);
    while let Some(action) = stranger.action() {
        if let Action::Send(_, bytes) = action {
            let _ = fleet.datagram(2_100, &bytes);
        }
    }
    assert_eq!(fleet.view(2_100).members.len(), MAX_KNOWN_NODES + 1);
}

#[test]
fn unknown_malformed_and_forged_datagrams_are_told_apart_and_change_nothing() {
    let mut fleet = node("n", 1);
    let digest = fleet.digest();
    let mut plain = postcard::to_stdvec(&(7u64, 200u8)).unwrap();
    plain.extend_from_slice(b"from the future");
    let newer = hopmoor_seal::seal(&keys(), Kind::Datagram, &plain, [1; NONCE_BYTES]).unwrap();
    assert_eq!(fleet.datagram(1_100, &newer), Err(Refused::UnknownType));
    assert_eq!(fleet.datagram(1_100, &newer[..20]), Err(Refused::Malformed));
    assert_eq!(fleet.datagram(1_100, &[0; MAX_DATAGRAM_BYTES + 1]), Err(Refused::Malformed));
    let mut forged = newer.clone();
    forged[30] ^= 1;
    assert_eq!(fleet.datagram(1_100, &forged), Err(Refused::Forged));
    let other =
        hopmoor_seal::seal(&Keys::new(2, [7; KEY_BYTES]), Kind::Datagram, &plain, [1; NONCE_BYTES]).unwrap();
    assert_eq!(fleet.datagram(1_100, &other), Err(Refused::UnknownKey));
    assert_eq!(fleet.stats().refused, 5);
    assert_eq!(fleet.digest(), digest);
}

#[test]
fn a_replayed_datagram_or_frame_changes_nothing() {
    let (mut a, mut b) = (node("a", 1), node("b", 2));
    a.apply_members(1_000, vec![foca::Member::alive(b.id.clone())], true);
    (1_000..1_300).for_each(|now| a.tick(now));
    let sent: Vec<Vec<u8>> = std::iter::from_fn(|| a.action())
        .filter_map(|action| match action {
            Action::Send(_, bytes) => Some(bytes),
            Action::Call(_) => None,
        })
        .collect();
    assert!(!sent.is_empty());
    for bytes in &sent {
        assert_eq!(b.datagram(1_500, bytes), Ok(()));
    }
    let before = (b.digest(), b.view(1_500).members);
    for bytes in &sent {
        assert_eq!(b.datagram(1_500, bytes), Err(Refused::Replayed));
    }
    assert_eq!((b.digest(), b.view(1_500).members), before);
    // A frame that answers another exchange is refused.
    let (mut first, _) = b.call().unwrap();
    let stale = Frame::State {
        from: id("x", 9),
        challenge: 12,
        next_challenge: None,
        entries: vec![invented_entry(1)],
    };
    assert_eq!(b.frame(1_600, &mut first, &seal_frame(&stale)), Err(Refused::Replayed));
    assert_eq!(b.digest(), before.0);
}

#[test]
fn unknown_fields_of_newer_versions_are_passed_on_unchanged() {
    let mut fleet = node("n", 1);
    let mut entry = invented_entry(1);
    let fields = vec![4, 1, 1, 201, 3, 1, 2, 3];
    entry.record = entry.record.map(|record| InfoRecord { fields: fields.clone(), ..record });
    answer_exchange(&mut fleet, vec![entry]).unwrap();
    let (mut exchange, own_hello) = (fleet.answer(), fleet.call().unwrap().1);
    drop(own_hello);
    let hello = Frame::Hello { from: id("m", 3), digest: [0; 32], challenge: 4 };
    let state = fleet.frame(2_100, &mut exchange, &seal_frame(&hello)).unwrap().unwrap();
    let plain = hopmoor_seal::open(&keys(), Kind::Frame, &state).unwrap();
    let Ok(Frame::State { entries, .. }) = Frame::read(&plain) else { panic!("no State frame") };
    let passed = entries.iter().find(|entry| &*entry.id.name == "made-up-1").unwrap();
    assert_eq!(passed.record.as_ref().unwrap().fields, fields);
    let seen = fleet.view(2_100).members.into_iter().find(|seen| &*seen.id.name == "made-up-1").unwrap();
    assert_eq!(seen.info.unwrap().ready, Readiness::Serving);
}

/// Makes `reporter` tell `to` that `of` is dead, and returns the state in which `to` then holds it.
fn report_dead(reporter: &mut Fleet, to: &mut Fleet, of: &Id, now: Millis) -> foca::State {
    reporter.apply_members(now, vec![foca::Member::down(of.clone())], true);
    reporter.apply_members(now, vec![foca::Member::alive(to.id.clone())], true);
    let mut output = FocaOutput::default();
    let _ = reporter.foca.gossip(&mut output);
    reporter.apply_output(now, output);
    while let Some(action) = reporter.action() {
        if let Action::Send(_, bytes) = action {
            let _ = to.datagram(now, &bytes);
        }
    }
    to.lookup(of).unwrap().2
}

#[test]
fn a_death_is_believed_if_the_sender_is_known_for_long_and_the_node_was_not_heard_recently() {
    let of = id("of", 9);
    let after = |known_for: Millis, heard: Option<Millis>| {
        let (mut a, mut b, mut c) = (node("a", 1), node("b", 2), node("of", 9));
        for fleet in [&mut a, &mut b] {
            fleet.apply_members(1_000, vec![foca::Member::alive(of.clone())], true);
        }
        let now = 1_000 + known_for;
        // The first datagram from `b` starts the time for which `a` knows it. One from `of` itself shows `a`
        // that it is up.
        report_dead(&mut b, &mut a, &id("nobody", 8), 1_000);
        if let Some(ago) = heard {
            report_dead(&mut c, &mut a, &id("nobody", 8), now - ago);
        }
        report_dead(&mut b, &mut a, &of, now)
    };
    assert_eq!(after(5_000, None), foca::State::Down);
    assert_eq!(after(500, None), foca::State::Suspect);
    assert_eq!(after(5_000, Some(300)), foca::State::Suspect);
    assert_eq!(after(5_000, Some(2_000)), foca::State::Down);
}
