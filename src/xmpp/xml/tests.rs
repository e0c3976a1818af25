use super::*;

const STREAM: &str = "<?xml version='1.0'?><stream:stream to='a.example' xmlns='jabber:client' \
    xmlns:stream='http://etherx.jabber.org/streams' version='1.0'> <iq type='result' id='1'>\
    <bind xmlns='urn:ietf:params:xml:ns:xmpp-bind'><jid>x@a/é&amp;1</jid></bind></iq><a:r/></stream:stream>";

fn cut(text: &[u8], step: usize, most: usize) -> Result<Vec<Unit>, XmlError> {
    let mut cutter = Cutter::new(most);
    let mut units = Vec::new();
    for part in text.chunks(step) {
        cutter.feed(part);
        while let Some(unit) = cutter.next()? {
            units.push(unit);
        }
    }
    Ok(units)
}

fn bytes(units: &[Unit]) -> Vec<u8> {
    let of = |unit: &Unit| match unit {
        Unit::Header { bytes, .. } | Unit::Stanza { bytes, .. } | Unit::Space(bytes) | Unit::End(bytes) => {
            bytes.clone()
        }
    };
    units.iter().flat_map(of).collect()
}

#[test]
fn a_stream_is_cut_the_same_however_it_comes() {
    for step in 1..STREAM.len() {
        let units = cut(STREAM.as_bytes(), step, 1_000).unwrap();
        assert_eq!(bytes(&units), STREAM.as_bytes(), "{step}");
        let Unit::Header { attributes, .. } = &units[0] else { panic!("{units:?}") };
        assert!(attributes.contains(&("to".into(), "a.example".into())));
        let Unit::Stanza { name, children, .. } = &units[2] else { panic!("{units:?}") };
        assert_eq!((&name[..], &children[0].name[..]), ("iq", "bind"));
        assert!(matches!(units.last(), Some(Unit::End(_))));
    }
}

#[test]
fn bad_input_gets_the_error_that_the_rfc_names() {
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
        (format!("{open}<a {}", "x".repeat(TAG)), XmlError::PolicyViolation),
        (format!("{open}{}", "<a>".repeat(DEPTH + 1)), XmlError::PolicyViolation),
    ] {
        assert_eq!(cut(text.as_bytes(), 512, 1_000), Err(error), "{text:.60}");
    }
    assert_eq!(cut(b"<stream:stream to='a'><a>\xff\xfe</a>", 512, 1_000), Err(XmlError::NotWellFormed));
}
