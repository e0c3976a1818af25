//! hopmoor is a broker for long-lived connections: a decision module, a core that keeps the rules, and two
//! fronts on it. The README tells how the modules fit; what follows is the decision module.
//!
//! The mechanism is that of King, Song and Dias (IBM RC21881): each interval a gateway forecasts every
//! tenant's load, budgets guarantees first and spare capacity by priority, caps a tenant's connections at its
//! budget over the minimum rate of one, paces those that queue, and places admitted ones by weighted round
//! robin. The module does no I/O, has no clock and no threads: what embeds it brings events and
//! carries out actions.
//!
//! ```
//! use hopmoor::{Action, Balancer, BackendId, BackendInfo, Event, ListScope, Phase, Request, RequestId};
//! use hopmoor::{ClassId, Settings, TenantId, ZoneId};
//!
//! let mut balancer = Balancer::new(Settings::default(), 7);
//! let mut actions = Vec::new();
//! let entries = vec![BackendInfo {
//!     id: BackendId(1),
//!     phase: Phase::Serving,
//!     zone: ZoneId(0),
//!     cell: 0,
//!     weight: 1.0,
//!     started_at: None,
//! }];
//! balancer.handle(0.0, Event::Backends { scope: ListScope::Whole, entries }, &mut actions);
//! actions.clear(); // a relay would set the timers asked for here
//! let request = Request {
//!     id: RequestId(1),
//!     tenant: TenantId(0),
//!     class: ClassId(0),
//!     group: None,
//!     key: None,
//!     grace_ms: 2_000.0,
//!     load_hint: None,
//!     mid_flow: false,
//! };
//! balancer.handle(5.0, Event::Request(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Attempt { backend: BackendId(1), .. })));
//! ```

pub mod admin;
mod api;
pub mod broker;
pub mod config;
pub mod discovery;
pub mod drill;
mod freshness;
pub mod front;
pub mod inventory;
mod logic;
pub mod membership;
pub mod net;
pub mod operator;
pub mod platform;
pub mod pool;
mod state;
mod view;
pub mod xmpp;

pub use api::*;
pub use freshness::CallFailure;
pub use logic::Balancer;
pub use view::{MemberView, TenantView};
