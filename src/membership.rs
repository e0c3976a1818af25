//! Converts the membership view into the node list that drain agreement works with.

use hopmoor_agree::{NodeStatus, SeenNode};
use hopmoor_fleet::{NodeView, Readiness, State, View};

/// Returns the nodes of the view as entries for the replicated log.
pub fn seen_nodes(view: &View) -> Vec<SeenNode> {
    let nodes = view.members.iter().map(|node| SeenNode {
        name: node.id.name.to_string(),
        zone: node.info.as_ref().map(|info| info.zone.clone()).unwrap_or_default(),
        incarnation: node.id.incarnation,
        status: status(node),
    });
    nodes.collect()
}

fn status(node: &NodeView) -> NodeStatus {
    match (node.state, node.info.as_ref().map(|info| info.ready)) {
        (State::Dead, _) => NodeStatus::Dead,
        (State::Left, _) | (_, Some(Readiness::Left)) => NodeStatus::Left,
        (_, Some(Readiness::Serving)) => NodeStatus::Serving,
        (_, Some(Readiness::Draining)) => NodeStatus::Draining,
        (_, Some(Readiness::Ending)) => NodeStatus::Ending,
        _ => NodeStatus::NotReady,
    }
}
