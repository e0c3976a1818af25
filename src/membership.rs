//! Converts the membership view into the node list that drain agreement works with.

use hopmoor_agree::{SeenNode, Standing};
use hopmoor_fleet::{NodeView, Readiness, State, View};

/// Returns the nodes of the view as entries for the replicated log.
pub fn seen_nodes(view: &View) -> Vec<SeenNode> {
    let nodes = view.members.iter().map(|node| SeenNode {
        name: node.id.name.to_string(),
        zone: node.info.as_ref().map(|info| info.zone.clone()).unwrap_or_default(),
        incarnation: node.id.incarnation,
        standing: standing(node),
    });
    nodes.collect()
}

fn standing(node: &NodeView) -> Standing {
    match (node.state, node.info.as_ref().map(|info| info.ready)) {
        (State::Dead, _) => Standing::Dead,
        (State::Left, _) | (_, Some(Readiness::Left)) => Standing::Left,
        (_, Some(Readiness::Serving)) => Standing::Serving,
        (_, Some(Readiness::Draining)) => Standing::Draining,
        (_, Some(Readiness::Ending)) => Standing::Ending,
        _ => Standing::NotReady,
    }
}
