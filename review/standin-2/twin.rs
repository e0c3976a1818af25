//! An inventory that lists one server twice, under two names, with its port written in two ways. The file is bad and
//! must be rejected whole: the server drains, and must not get new streams.

use crate::Case;
use crate::tools::*;
use crate::xmpp::*;

const GRACE_MS: f64 = 750.0;
/// What the pages add to every time limit on sockets.
const SLACK_MS: f64 = 50.0;

pub fn run(case: &Case) -> Result<bool, Trouble> {
    let record = &case.record;
    let chat: Vec<Server> = ["chat-a", "kiln3", "chat-c"]
        .iter()
        .map(|name| Server::start(name, record))
        .collect::<Result<_, _>>()?;
    let kiln3 = &chat[1];
    let before = format!(
        "  - {{name: chat-a, dial: \"{}\", zone: athens-east}}\n  - {{name: kiln3, dial: \"{}\", zone: athens-east, state: draining}}\n",
        chat[0].address, kiln3.address
    );
    // The other site lists the same server once more, or (without the disruption) a server of its own.
    let added = if case.trouble {
        format!("  - {{name: kiln3-macon, dial: \"127.0.0.1:0{}\", zone: macon-mill}}\n", kiln3.port())
    } else {
        format!("  - {{name: chat-c, dial: \"{}\", zone: macon-mill}}\n", chat[2].address)
    };
    let mut node = XmppNode::start(&case.root, &case.folder, &before, record)?;
    let told = record.now();
    let mut standing = Vec::new();
    let mut open = |from: u32, to: u32| -> Result<(), Trouble> {
        for n in from..to {
            if let Negotiated::Bound(reader, writer) =
                negotiate(&node.listen, &format!("potter-{n}"), record)?
            {
                standing.push((reader, writer));
            }
            sleep(100);
        }
        Ok(())
    };
    open(0, 15)?;
    record.line("SIGHUP: the inventory has one more row");
    node.reload(&format!("{before}{added}"))?;
    sleep(300);
    open(15, 55)?;
    let late: Vec<_> =
        lock(&kiln3.streams).iter().filter(|(at, _)| *at > told + GRACE_MS + SLACK_MS).cloned().collect();
    for (at, who) in &late {
        record.line(&format!(
            "VERDICT kiln3, which drains, got the new stream of {who} {:.0} ms after the node was told",
            at - told
        ));
    }
    record.line(&format!("{} clients bound; {} streams to the draining server", standing.len(), late.len()));
    if !node.runs() {
        return Err("the node has ended".into());
    }
    Ok(late.is_empty())
}
