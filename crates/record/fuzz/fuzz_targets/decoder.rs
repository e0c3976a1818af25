//! Any bytes, in any pieces: no panic, and the pieces make no difference.
#![no_main]

use hopmoor_record::{Decoder, Encoder, Header};
use libfuzzer_sys::fuzz_target;

fn read(bytes: &[u8], piece: usize) -> (usize, bool) {
    let (mut decoder, mut records) = (Decoder::new(), 0);
    for piece in bytes.chunks(piece) {
        decoder.feed(piece);
        records += std::iter::from_fn(|| decoder.next_record()).count();
    }
    (records, decoder.at_end().is_some())
}

fuzz_target!(|bytes: &[u8]| {
    assert_eq!(read(bytes, 7), read(bytes, bytes.len().max(1)));
    // The same behind a good header, or hardly any input would get past it.
    let mut framed = Vec::new();
    if Encoder::begin(&Header::default(), &mut framed).is_ok() {
        framed.extend_from_slice(bytes);
        assert_eq!(read(&framed, 5), read(&framed, framed.len()));
    }
});
