//! Reloads the configuration or the inventory on SIGHUP while the node serves. An invalid file changes
//! nothing.

use super::Node;
use crate::config::{self, Config};
use crate::operator;
use slog::{info, warn};
use std::path::PathBuf;
use std::rc::Rc;

/// The file that is reloaded.
pub(super) enum Source {
    /// The platform's configuration file, and the configuration in force.
    Config(PathBuf, Box<Config>),
    /// The inventory file of an XMPP node.
    Inventory(PathBuf),
}

impl Source {
    /// Reads and checks the whole file, then applies it.
    pub(super) fn reload(&mut self, node: &Rc<Node>) {
        match self {
            Source::Config(file, current) => match config::read(file) {
                Ok(new) => apply(node, current, new),
                Err(error) => report_failure(node, "configuration not taken", &error),
            },
            Source::Inventory(file) => match operator::read_pool(file) {
                Ok(list) => {
                    let members = list.members.len();
                    if let Err(invalid) = node.with(|broker, now| broker.listed(now, list, now)) {
                        return report_failure(
                            node,
                            "inventory not taken",
                            &config::ConfigError(invalid.to_string()),
                        );
                    }
                    info!(node.log, "inventory taken"; "members" => members);
                    node.with(|broker, now| broker.reloaded(now, true));
                }
                Err(error) => report_failure(node, "inventory not taken", &error),
            },
        }
    }
}

/// Counts and logs a reload that failed.
fn report_failure(node: &Rc<Node>, what: &'static str, error: &config::ConfigError) {
    node.with(|broker, now| broker.reloaded(now, false));
    warn!(node.log, "{}", what; "error" => %error);
}

/// Applies a new configuration: discovery's address and the descriptor limit take effect at once. Other
/// fields that differ are logged, and take effect after a restart.
fn apply(node: &Rc<Node>, old: &mut Config, new: Config) {
    let needs_restart: Vec<&str> = [
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
        "waits_for_restart" => needs_restart.join(" "));
    node.descriptors.borrow_mut().resize(new.sockets.saturating_sub(node.reserved_descriptors));
    old.sockets = new.sockets;
    old.discovery = new.discovery;
    node.with(|broker, now| broker.reloaded(now, true));
    if let Some(address) = new.discovery {
        node.discovery.set(Some(address));
        node.with(|broker, now| broker.discovery_replaced(now));
        node.redirected.notify_one();
    }
}
