//! How the view of the fleet is told to those who agree on drains.

use hopmoor_agree::{NodeStatus, SeenNode};
use hopmoor_fleet::{NodeView, Readiness, State, View};

/// The nodes as the log has them.
pub fn seen_nodes(view: &View) -> Vec<SeenNode> {
    let seen_nodes = view.members.iter().map(|seen_nodes| SeenNode {
        name: seen_nodes.id.name.to_string(),
        zone: seen_nodes.info.as_ref().map(|info| info.zone.clone()).unwrap_or_default(),
        incarnation: seen_nodes.id.incarnation,
        status: status(seen_nodes),
    });
    seen_nodes.collect()
}

fn status(seen_nodes: &NodeView) -> NodeStatus {
    match (seen_nodes.state, seen_nodes.info.as_ref().map(|info| info.ready)) {
        (State::Dead, _) => NodeStatus::Dead,
        (State::Left, _) | (_, Some(Readiness::Left)) => NodeStatus::Left,
        (_, Some(Readiness::Serving)) => NodeStatus::Serving,
        (_, Some(Readiness::Draining)) => NodeStatus::Draining,
        (_, Some(Readiness::Ending)) => NodeStatus::Ending,
        _ => NodeStatus::NotReady,
    }
}
