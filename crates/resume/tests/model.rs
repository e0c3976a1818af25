//! Tests of resume tokens, and of positions against a plain list as the model.
use hopmoor_resume::Keys;
use hopmoor_resume::positions::{AckError, Full, Gap, Positions};
use hopmoor_resume::token::{Claims, MAX_TOKEN_CHARS, NONCE_BYTES, Refused, open, seal};
use proptest::prelude::*;

fn keys(seal_with: u32, ids: &[u32]) -> Keys {
    // Each secret is 32 bytes of one letter, in base64.
    let secret = |id: &u32| match id % 3 {
        0 => "QUFBQUFBQUFBQUFBQUFBQUFBQUFBQUFBQUFBQUFBQUE=",
        1 => "QkJCQkJCQkJCQkJCQkJCQkJCQkJCQkJCQkJCQkJCQkI=",
        _ => "Q0NDQ0NDQ0NDQ0NDQ0NDQ0NDQ0NDQ0NDQ0NDQ0NDQ0M=",
    };
    let listed: Vec<String> =
        ids.iter().map(|id| format!(r#"{{"id":{id},"secret":"{}"}}"#, secret(id))).collect();
    Keys::read(format!(r#"{{"seal_with":{seal_with},"keys":[{}]}}"#, listed.join(",")).as_bytes()).unwrap()
}

fn claims() -> Claims {
    Claims {
        realm: "oconee".into(),
        stream: 77,
        class: "booking-set".into(),
        tenant: "red-clay-guild".into(),
        service: "slots".into(),
        group: Some(9),
        from_client: 12,
        from_member: 4_294_967_300,
        member: "s-3".into(),
        epoch: 2,
        issued_ms: 1_000,
        expires_ms: 61_000,
    }
}

#[test]
fn a_token_is_read_by_any_node_with_the_key_until_it_expires() {
    let token = seal(&keys(1, &[1]), &claims(), [5; NONCE_BYTES]).unwrap();
    let other = keys(2, &[1, 2]);
    assert_eq!(open(&other, "oconee", 60_999, &token), Ok(claims()), "a node that seals with a newer key");
    assert_eq!(open(&other, "oconee", 61_000, &token), Err(Refused::Expired));
    assert_eq!(open(&other, "macon", 2_000, &token), Err(Refused::Foreign));
    assert_eq!(open(&keys(2, &[2]), "oconee", 2_000, &token), Err(Refused::UnknownKey), "rotated out");
    assert!(!token.contains("red-clay"));
    let again = seal(&keys(1, &[1]), &claims(), [6; NONCE_BYTES]).unwrap();
    assert_ne!(token[8..], again[8..]);
    let long = Claims { service: "x".repeat(MAX_TOKEN_CHARS), ..claims() };
    assert!(seal(&keys(1, &[1]), &long, [5; NONCE_BYTES]).is_err());
}

/// Keys 1 and 4 have the same secret. A token whose key id is changed from one to the other must be refused,
/// because the key id is authenticated too.
#[test]
fn a_token_with_another_key_id_is_refused_as_forged() {
    let token = seal(&keys(1, &[1, 4]), &claims(), [5; NONCE_BYTES]).unwrap();
    let relabelled = token.replacen("AQEAAAA", "AQQAAAA", 1);
    assert_ne!(relabelled, token);
    assert_eq!(open(&keys(1, &[1, 4]), "oconee", 2_000, &relabelled), Err(Refused::Forged));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_token_with_a_flipped_bit_is_refused(
        at in any::<prop::sample::Index>(),
        bit in 0u8..6,
        stream in any::<u128>(),
        epoch in any::<u64>(),
    ) {
        const BASE64URL_ALPHABET: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
        let keys = keys(1, &[1, 2]);
        let token = seal(&keys, &Claims { stream, epoch, ..claims() }, [5; NONCE_BYTES]).unwrap();
        let mut bytes = token.clone().into_bytes();
        let at = at.index(bytes.len());
        let value = BASE64URL_ALPHABET.iter().position(|letter| *letter == bytes[at]).unwrap();
        bytes[at] = BASE64URL_ALPHABET[value ^ (1 << bit)];
        let altered = String::from_utf8(bytes).unwrap();
        prop_assert!(open(&keys, "oconee", 2_000, &altered).is_err());
    }

    #[test]
    fn arbitrary_text_is_refused_without_a_panic(
        text in ".{0,80}",
        bytes in proptest::collection::vec(any::<u8>(), 0..90),
    ) {
        let keys = keys(1, &[1]);
        prop_assert!(open(&keys, "oconee", 0, &text).is_err());
        let printable: String = bytes.iter().map(|byte| char::from(b'A' + byte % 26)).collect();
        prop_assert!(open(&keys, "oconee", 0, &printable).is_err());
    }

    /// After any sequence of sends and acknowledgements, the messages after a position are those of a plain
    /// list, or a gap is reported, and the kept bytes stay within the limit.
    #[test]
    fn positions_match_a_plain_list(
        start in prop_oneof![0u64..10, (u64::from(u32::MAX) - 20)..u64::from(u32::MAX)],
        steps in proptest::collection::vec((0u8..4, 0u64..40, 0usize..30), 1..120),
    ) {
        let max_bytes = 200;
        let mut positions = Positions::new(start, max_bytes);
        let (mut list, mut acked): (Vec<Vec<u8>>, u64) = (Vec::new(), start);
        for (kind, number, size) in steps {
            let sent = start + list.len() as u64;
            let kept: usize = list[(acked - start) as usize..].iter().map(Vec::len).sum();
            match kind {
                0 | 1 => {
                    let message = vec![number as u8; size];
                    if kept + size > max_bytes {
                        prop_assert_eq!(positions.send(message), Err(Full));
                    } else {
                        prop_assert_eq!(positions.send(message.clone()), Ok(sent + 1));
                        list.push(message);
                    }
                }
                2 => {
                    let up_to = start + number;
                    if up_to > sent {
                        prop_assert_eq!(positions.ack(up_to), Err(AckError { acked: up_to, sent }));
                    } else {
                        prop_assert_eq!(positions.ack(up_to), Ok(()));
                        acked = acked.max(up_to);
                    }
                }
                _ => {
                    // The count wraps at 2^32; counts beyond the last message sent are refused.
                    let up_to = acked + number;
                    let result = positions.ack_wire_count(up_to as u32);
                    if up_to > sent {
                        prop_assert_eq!(result, Err(AckError { acked: up_to, sent }));
                    } else {
                        prop_assert_eq!(result, Ok(()));
                        acked = up_to;
                    }
                }
            }
            let sent = start + list.len() as u64;
            prop_assert!(positions.bytes() <= max_bytes);
            prop_assert_eq!((positions.sent(), positions.acked()), (sent, acked));
            for position in start.saturating_sub(1)..=sent + 1 {
                match positions.unacked_after(position) {
                    Err(Gap) => prop_assert!(position < acked || position > sent),
                    Ok(rest) => {
                        prop_assert!(position >= acked && position <= sent);
                        let rest: Vec<_> = rest.map(|(number, message)| (number, message.to_vec())).collect();
                        let expected: Vec<_> = (position + 1..=sent)
                            .map(|number| (number, list[(number - start - 1) as usize].clone()))
                            .collect();
                        prop_assert_eq!(rest, expected);
                    }
                }
            }
        }
    }
}
