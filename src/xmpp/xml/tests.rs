use super::*;

const STREAM: &str = "<?xml version='1.0'?><stream:stream to='a.example' xmlns='jabber:client' \
    xmlns:stream='http://etherx.jabber.org/streams' version='1.0'> <iq type='result' id='1'>\
    <bind xmlns='urn:ietf:params:xml:ns:xmpp-bind'><jid>x@a/é&amp;1</jid></bind></iq><a:r/></stream:stream>";

fn parse(text: &[u8], chunk_bytes: usize, max_item_bytes: usize) -> Result<Vec<StreamItem>, XmlError> {
    let mut parser = StreamParser::new(max_item_bytes);
    let mut items = Vec::new();
    for chunk in text.chunks(chunk_bytes) {
        parser.feed(chunk);
        while let Some(item) = parser.next()? {
            items.push(item);
        }
    }
    Ok(items)
}

fn bytes(items: &[StreamItem]) -> Vec<u8> {
    let of = |item: &StreamItem| match item {
        StreamItem::Header { bytes, .. }
        | StreamItem::Stanza { bytes, .. }
        | StreamItem::Whitespace(bytes)
        | StreamItem::End(bytes) => bytes.clone(),
    };
    items.iter().flat_map(of).collect()
}

#[test]
fn stream_parses_the_same_in_chunks_of_any_size() {
    for chunk_bytes in 1..STREAM.len() {
        let items = parse(STREAM.as_bytes(), chunk_bytes, 1_000).unwrap();
        assert_eq!(bytes(&items), STREAM.as_bytes(), "{chunk_bytes}");
        let StreamItem::Header { attributes, .. } = &items[0] else { panic!("{items:?}") };
        assert!(attributes.contains(&("to".into(), "a.example".into())));
        let StreamItem::Stanza { name, children, .. } = &items[2] else { panic!("{items:?}") };
        assert_eq!((&name[..], &children[0].name[..]), ("iq", "bind"));
        assert!(matches!(items.last(), Some(StreamItem::End(_))));
    }
}

#[test]
fn invalid_input_fails_with_the_stream_error_that_the_rfc_names() {
    let open = "<stream:stream to='a'>";
    for (text, error) in [
        ("hello".to_owned(), XmlError::BadFormat),
        ("<message/>".to_owned(), XmlError::BadFormat),
        (format!("{open}<a></b>"), XmlError::NotWellFormed),
        (format!("{open}<a x='1' x='2'/>"), XmlError::NotWellFormed),
        (format!("{open}<a x=1/>"), XmlError::NotWellFormed),
        (format!("{open}<!-- c -->"), XmlError::RestrictedXml),
        (format!("{open}<!DOCTYPE x>"), XmlError::RestrictedXml),
        (format!("{open}<?php ?>"), XmlError::RestrictedXml),
        (format!("{open}<a>&nbsp;</a>"), XmlError::RestrictedXml),
        (format!("{open}<a>{}</a>", "x".repeat(2_000)), XmlError::PolicyViolation),
        (format!("{open}<a {}", "x".repeat(MAX_TAG_BYTES)), XmlError::PolicyViolation),
        (format!("{open}{}", "<a>".repeat(MAX_DEPTH + 1)), XmlError::PolicyViolation),
    ] {
        assert_eq!(parse(text.as_bytes(), 512, 1_000), Err(error), "{text:.60}");
    }
    assert_eq!(parse(b"<stream:stream to='a'><a>\xff\xfe</a>", 512, 1_000), Err(XmlError::NotWellFormed));
}

/// Guards against memory that grows with the number of children of a stanza (picture a of issue 54): 16,000 empty
/// ones took 0.7 MB.
#[test]
fn only_the_first_children_of_a_stanza_are_kept() {
    let mut parser = StreamParser::new(100_000);
    parser.feed(b"<stream:stream><m>");
    parser.feed(&b"<a/>".repeat(16_000));
    parser.feed(b"</m>");
    assert!(matches!(parser.next(), Ok(Some(StreamItem::Header { .. }))));
    let Ok(Some(StreamItem::Stanza { children, bytes, .. })) = parser.next() else { panic!("no stanza") };
    assert_eq!((children.len(), bytes.len()), (MAX_KEPT_CHILDREN, 64_007));
}
