//! What comes from a node that holds the key and means ill, or from one of another version.

use crate::wire::{Entry, Frame, Told};
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

fn sealed(frame: &Frame) -> Vec<u8> {
    hopmoor_seal::seal(&keys(), Kind::Frame, &frame.write().unwrap(), [3; NONCE_BYTES]).unwrap()
}

/// Answers an exchange that the node begins with these entries.
fn told(fleet: &mut Fleet, entries: Vec<Entry>) -> Result<Option<Vec<u8>>, Refused> {
    let (mut exchange, hello) = fleet.call().unwrap();
    let plain = hopmoor_seal::open(&keys(), Kind::Frame, &hello).unwrap();
    let Ok(Frame::Hello { salt, .. }) = Frame::read(&plain) else { panic!("no greeting") };
    let state = Frame::State { from: id("x", 9), salt, wanted: None, entries };
    fleet.frame(2_000, &mut exchange, &sealed(&state))
}

fn made_up(number: usize) -> Entry {
    let name = format!("made-up-{number}");
    let node_info = Word { name: name.as_str().into(), incarnation: 5, version: 1, fields: vec![4, 1, 1] };
    Entry { id: id(&name, 9), refuted: 0, state: Told::Alive, dead_ms: 0, node_info: Some(node_info) }
}

#[test]
fn ten_thousand_made_up_names_are_bounded_and_told_once() {
    let mut fleet = node("n", 1);
    told(&mut fleet, vec![Entry { node_info: None, ..made_up(0) }]).unwrap();
    told(&mut fleet, (0..10_000).map(made_up).collect()).unwrap();
    told(&mut fleet, (10_000..20_000).map(made_up).collect()).unwrap();
    let view = fleet.view(2_000);
    assert_eq!(view.members.len(), MAX_KNOWN_NODES + 1);
    assert!(fleet.words.borrow().len() <= MAX_KNOWN_NODES);
    let full = std::iter::from_fn(|| fleet.event()).filter(|event| *event == Event::Full).count();
    assert_eq!(full, 1);
    // Who is known stays known: a datagram of a stranger that names strangers changes nothing.
    let mut wants = Wants::default();
    let mut stranger = node("stranger", 2);
    stranger.apply(1_000, (0..20).map(|n| foca::Member::alive(id(&format!("more-{n}"), 9))).collect(), true);
    let _ = stranger.foca.announce(fleet.id.clone(), &mut wants);
    stranger.carry_out(1_000, wants);
    while let Some(action) = stranger.action() {
        if let Action::Send(_, bytes) = action {
            let _ = fleet.datagram(2_100, &bytes);
        }
    }
    assert_eq!(fleet.view(2_100).members.len(), MAX_KNOWN_NODES + 1);
}

#[test]
fn what_is_of_a_newer_kind_is_told_apart_and_changes_nothing() {
    let mut fleet = node("n", 1);
    let digest = fleet.digest();
    let mut plain = postcard::to_stdvec(&(7u64, 200u8)).unwrap();
    plain.extend_from_slice(b"from the future");
    let newer = hopmoor_seal::seal(&keys(), Kind::Datagram, &plain, [1; NONCE_BYTES]).unwrap();
    assert_eq!(fleet.datagram(1_100, &newer), Err(Refused::Unknown));
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
    a.apply(1_000, vec![foca::Member::alive(b.id.clone())], true);
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
    // An answer to another exchange finds nobody who waits for it.
    let (mut first, _) = b.call().unwrap();
    let stale = Frame::State { from: id("x", 9), salt: 12, wanted: None, entries: vec![made_up(1)] };
    assert_eq!(b.frame(1_600, &mut first, &sealed(&stale)), Err(Refused::Replayed));
    assert_eq!(b.digest(), before.0);
}

#[test]
fn a_newer_nodes_fields_go_round_as_they_came() {
    let mut fleet = node("n", 1);
    let mut entry = made_up(1);
    let fields = vec![4, 1, 1, 201, 3, 1, 2, 3];
    entry.node_info = entry.node_info.map(|node_info| Word { fields: fields.clone(), ..node_info });
    told(&mut fleet, vec![entry]).unwrap();
    let (mut there, answer) = (fleet.answer(), fleet.call().unwrap().1);
    drop(answer);
    let hello = Frame::Hello { from: id("m", 3), digest: [0; 32], salt: 4 };
    let state = fleet.frame(2_100, &mut there, &sealed(&hello)).unwrap().unwrap();
    let plain = hopmoor_seal::open(&keys(), Kind::Frame, &state).unwrap();
    let Ok(Frame::State { entries, .. }) = Frame::read(&plain) else { panic!("no state") };
    let passed = entries.iter().find(|entry| &*entry.id.name == "made-up-1").unwrap();
    assert_eq!(passed.node_info.as_ref().unwrap().fields, fields);
    let seen = fleet.view(2_100).members.into_iter().find(|seen| &*seen.id.name == "made-up-1").unwrap();
    assert_eq!(seen.info.unwrap().ready, Readiness::Serving);
}

/// Has one tell the other that a third is dead.
fn tells_dead(teller: &mut Fleet, to: &mut Fleet, of: &Id, now: Millis) -> foca::State {
    teller.apply(now, vec![foca::Member::down(of.clone())], true);
    teller.apply(now, vec![foca::Member::alive(to.id.clone())], true);
    let mut wants = Wants::default();
    let _ = teller.foca.gossip(&mut wants);
    teller.carry_out(now, wants);
    while let Some(action) = teller.action() {
        if let Action::Send(_, bytes) = action {
            let _ = to.datagram(now, &bytes);
        }
    }
    to.known(of).unwrap().2
}

#[test]
fn a_death_is_believed_of_one_known_for_long_about_one_not_heard_since() {
    let of = id("of", 9);
    let after = |known_for: Millis, heard: Option<Millis>| {
        let (mut a, mut b, mut c) = (node("a", 1), node("b", 2), node("of", 9));
        for fleet in [&mut a, &mut b] {
            fleet.apply(1_000, vec![foca::Member::alive(of.clone())], true);
        }
        let now = 1_000 + known_for;
        // They greet each other at first; what is not sent is not known.
        tells_dead(&mut b, &mut a, &id("nobody", 8), 1_000);
        if let Some(ago) = heard {
            tells_dead(&mut c, &mut a, &id("nobody", 8), now - ago);
        }
        tells_dead(&mut b, &mut a, &of, now)
    };
    assert_eq!(after(5_000, None), foca::State::Down);
    assert_eq!(after(500, None), foca::State::Suspect);
    assert_eq!(after(5_000, Some(300)), foca::State::Suspect);
    assert_eq!(after(5_000, Some(2_000)), foca::State::Down);
}
