//! hopmoor is a broker for long-lived connections. It has a decision module, a core that enforces the
//! protocol's rules, and two fronts. The README describes how the modules fit together; what follows is the
//! decision module.
//!
//! The mechanism is that of King, Song and Dias (IBM RC21881). In each interval a node forecasts the load of
//! every tenant. It budgets capacity to guarantees first, and spare capacity by priority. It limits a
//! tenant's connections to its budget divided by the minimum rate of a connection, paces queued connections,
//! and places admitted ones by weighted round robin. The module does no I/O and has no clock and no threads:
//! its embedder passes it events and executes its actions.
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
//! actions.clear(); // a node would set the requested timers here
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
mod restart;
mod state;
mod view;
pub mod xmpp;

pub use api::*;
pub use freshness::CallFailure;
pub use logic::Balancer;
pub use view::{MemberView, TenantView};
