//! SIGHUP: the configuration or the inventory is read anew while the node serves. A bad file changes nothing.

use super::Node;
use crate::config::{self, Config};
use crate::operator;
use slog::{info, warn};
use std::path::PathBuf;
use std::rc::Rc;

/// What is read anew.
pub(super) enum Source {
    /// The platform's configuration, with what of it is in force.
    Config(PathBuf, Box<Config>),
    /// The inventory of an XMPP node.
    Inventory(PathBuf),
}

impl Source {
    /// Reads and checks the whole file, then puts it in force.
    pub(super) fn reload(&mut self, node: &Rc<Node>) {
        match self {
            Source::Config(file, now) => match config::read(file) {
                Ok(new) => take(node, now, new),
                Err(error) => refuse(node, "configuration not taken", &error),
            },
            Source::Inventory(file) => match operator::pool(file) {
                Ok(list) => {
                    let members = list.members.len();
                    if let Err(unfit) = node.with(|broker, now| broker.listed(now, list, now)) {
                        return refuse(node, "inventory not taken", &config::ConfigError(unfit.to_string()));
                    }
                    info!(node.log, "inventory taken"; "members" => members);
                    node.with(|broker, now| broker.reloaded(now, true));
                }
                Err(error) => refuse(node, "inventory not taken", &error),
            },
        }
    }
}

fn refuse(node: &Rc<Node>, what: &'static str, error: &config::ConfigError) {
    node.with(|broker, now| broker.reloaded(now, false));
    warn!(node.log, "{}", what; "error" => %error);
}

/// The address of discovery and the limit of descriptors take effect; what else differs waits for a restart.
fn take(node: &Rc<Node>, old: &mut Config, new: Config) {
    let waits: Vec<&str> = [
        ("name", old.name != new.name),
        ("listen", old.listen != new.listen),
        ("admin", new.admin.is_some() && old.admin != new.admin),
        ("settings", old.site != new.site),
    ]
    .into_iter()
    .filter_map(|(field, differs)| differs.then_some(field))
    .collect();
    let discovery = new.discovery.map_or_else(String::new, |address| address.to_string());
    info!(node.log, "configuration taken"; "discovery" => discovery, "sockets" => new.sockets,
        "waits_for_restart" => waits.join(" "));
    node.descriptors.borrow_mut().resize(new.sockets.saturating_sub(node.kept_back));
    old.sockets = new.sockets;
    old.discovery = new.discovery;
    node.with(|broker, now| broker.reloaded(now, true));
    if let Some(address) = new.discovery {
        node.discovery.set(Some(address));
        node.with(|broker, now| broker.discovery_replaced(now));
        node.redirected.notify_one();
    }
}
