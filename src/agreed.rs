//! Converts the membership view into the node list that drain agreement works with.

use hopmoor_agree::{SeenNode, Standing};
use hopmoor_fleet::{Ready, Seen, State, View};

/// Returns the nodes of the view as entries for the replicated log.
pub fn seen(view: &View) -> Vec<SeenNode> {
    let nodes = view.members.iter().map(|node| SeenNode {
        name: node.id.name.to_string(),
        zone: node.said.as_ref().map(|said| said.zone.clone()).unwrap_or_default(),
        incarnation: node.id.incarnation,
        standing: standing(node),
    });
    nodes.collect()
}

fn standing(node: &Seen) -> Standing {
    match (node.state, node.said.as_ref().map(|said| said.ready)) {
        (State::Dead, _) => Standing::Dead,
        (State::Left, _) | (_, Some(Ready::Left)) => Standing::Left,
        (_, Some(Ready::Serving)) => Standing::Serving,
        (_, Some(Ready::Draining)) => Standing::Draining,
        (_, Some(Ready::Ending)) => Standing::Ending,
        _ => Standing::NotReady,
    }
}
