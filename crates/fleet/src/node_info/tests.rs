use super::*;

#[test]
fn unknown_fields_are_kept_and_invalid_records_rejected() {
    let info = NodeInfo { zone: "a".into(), ready: Readiness::Serving, room: 7, ..NodeInfo::default() };
    let mut fields = info.fields();
    fields.extend_from_slice(&[200, 3, 1, 2, 3]);
    assert_eq!(NodeInfo::read(&fields), Some(info));
    let record = |incarnation, version, fields: &[u8]| InfoRecord {
        name: "n".into(),
        incarnation,
        version,
        fields: fields.to_vec(),
    };
    let mut info_table = InfoTable::new(1);
    assert!(info_table.insert_if_newer(record(5, 2, &fields)));
    assert_eq!(info_table.get("n").unwrap().fields, fields);
    assert!(!info_table.insert_if_newer(record(5, 2, &[])), "the same version again");
    assert!(!info_table.insert_if_newer(record(4, 9, &[])), "an earlier incarnation");
    assert!(info_table.insert_if_newer(record(6, 1, &[])));
    assert!(!info_table.insert_if_newer(record(7, 1, &[1, 9, 0])), "truncated");
    assert!(!info_table.insert_if_newer(record(7, 1, &[0; MAX_INFO_BYTES + 2])), "too long");
    assert!(!info_table.insert_if_newer(InfoRecord { name: "m".into(), ..record(1, 1, &[]) }), "table full");
    assert_eq!(info_table.rejected, 2);
}

#[test]
fn announced_fields_survive_a_round_trip() {
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
    assert!(long.fields().len() <= MAX_INFO_BYTES);
    assert_eq!(NodeInfo::read(&long.fields()).unwrap().ready, Readiness::Draining);
}
