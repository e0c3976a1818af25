//! Feeds arbitrary bytes to the decoder. It must not panic, and the result must not depend on how the input is
//! split into chunks.
#![no_main]

use hopmoor_record::{Decoder, Encoder, Header};
use libfuzzer_sys::fuzz_target;

fn decode(bytes: &[u8], chunk_bytes: usize) -> (usize, bool) {
    let (mut decoder, mut records) = (Decoder::new(), 0);
    for chunk in bytes.chunks(chunk_bytes) {
        decoder.feed(chunk);
        records += std::iter::from_fn(|| decoder.next_record()).count();
    }
    (records, decoder.damage_at_end().is_some())
}

fuzz_target!(|bytes: &[u8]| {
    assert_eq!(decode(bytes, 7), decode(bytes, bytes.len().max(1)));
    // Repeat behind a valid header: hardly any fuzz input would get past the header check otherwise.
    let mut framed = Vec::new();
    if Encoder::begin_segment(&Header::default(), &mut framed).is_ok() {
        framed.extend_from_slice(bytes);
        assert_eq!(decode(&framed, 5), decode(&framed, framed.len()));
    }
});
