//! How the view of the fleet is told to those who agree on drains.

use hopmoor_agree::{SeenNode, Standing};
use hopmoor_fleet::{Ready, Seen, State, View};

/// The nodes as the log has them.
pub fn seen(view: &View) -> Vec<SeenNode> {
    let seen = view.members.iter().map(|seen| SeenNode {
        name: seen.id.name.to_string(),
        zone: seen.said.as_ref().map(|said| said.zone.clone()).unwrap_or_default(),
        incarnation: seen.id.incarnation,
        standing: standing(seen),
    });
    seen.collect()
}

fn standing(seen: &Seen) -> Standing {
    match (seen.state, seen.said.as_ref().map(|said| said.ready)) {
        (State::Dead, _) => Standing::Dead,
        (State::Left, _) | (_, Some(Ready::Left)) => Standing::Left,
        (_, Some(Ready::Serving)) => Standing::Serving,
        (_, Some(Ready::Draining)) => Standing::Draining,
        (_, Some(Ready::Ending)) => Standing::Ending,
        _ => Standing::NotReady,
    }
}
