use super::*;

#[test]
fn what_is_sealed_as_one_kind_is_not_taken_for_another() {
    let keys = Keys::new(3, [9; KEY_BYTES]);
    let sealed = seal(&keys, Kind::Datagram, b"word", [1; NONCE_BYTES]).unwrap();
    assert_eq!(sealed.len(), 4 + OVERHEAD_BYTES);
    assert_eq!(open(&keys, Kind::Datagram, &sealed).as_deref(), Ok(&b"word"[..]));
    assert_eq!(open(&keys, Kind::Frame, &sealed), Err(UnsealError::Malformed));
    let mut relabelled = sealed.clone();
    relabelled[0] = Kind::Frame as u8;
    assert_eq!(open(&keys, Kind::Frame, &relabelled), Err(UnsealError::Forged));
    assert_eq!(open(&Keys::new(4, [9; KEY_BYTES]), Kind::Datagram, &sealed), Err(UnsealError::UnknownKey));
    assert_eq!(open(&Keys::new(3, [8; KEY_BYTES]), Kind::Datagram, &sealed), Err(UnsealError::Forged));
}
