use super::*;

#[test]
fn a_newer_nodes_fields_are_kept_and_bad_words_are_not() {
    let info = NodeInfo { zone: "a".into(), ready: Readiness::Serving, room: 7, ..NodeInfo::default() };
    let mut fields = info.fields();
    fields.extend_from_slice(&[200, 3, 1, 2, 3]);
    assert_eq!(NodeInfo::read(&fields), Some(info));
    let node_info = |incarnation, version, fields: &[u8]| Word {
        name: "n".into(),
        incarnation,
        version,
        fields: fields.to_vec(),
    };
    let mut words = Words::new(1);
    assert!(words.take(node_info(5, 2, &fields)));
    assert_eq!(words.get("n").unwrap().fields, fields);
    assert!(!words.take(node_info(5, 2, &[])), "the same again is no news");
    assert!(!words.take(node_info(4, 9, &[])), "an earlier coming");
    assert!(words.take(node_info(6, 1, &[])));
    assert!(!words.take(node_info(7, 1, &[1, 9, 0])), "cut short");
    assert!(!words.take(node_info(7, 1, &[0; WORD_BYTES + 2])), "too long");
    assert!(!words.take(Word { name: "m".into(), ..node_info(1, 1, &[]) }), "no room");
    assert_eq!(words.bad, 2);
}

#[test]
fn all_that_a_node_says_comes_back() {
    let info = NodeInfo {
        zone: "athens-east".into(),
        clients: "127.0.0.1:5222".into(),
        admin: "127.0.0.1:5223".into(),
        ready: Readiness::Draining,
        program: vec![7; DIGEST_BYTES],
        config: vec![8; DIGEST_BYTES],
        up_ms: 1 << 40,
        room: 12,
    };
    assert_eq!(NodeInfo::read(&info.fields()), Some(info.clone()));
    let long = NodeInfo { zone: "z".repeat(600), clients: "c".repeat(600), ..info };
    assert!(long.fields().len() <= WORD_BYTES);
    assert_eq!(NodeInfo::read(&long.fields()).unwrap().ready, Readiness::Draining);
}
