//! A whole site in virtual time: the real broker and decision module of each node, with members and clients that are
//! made up here. One seed gives one run. The nodes record into folders as the real program does.
//!
//! A member answers an attempt after 3 to 9 ms, or 15 ms a connection more once it holds more than its slots; a probe
//! is answered with its load (connections over slots) and how long a message takes. A client wants its connection
//! from its arrival on for an exponential time, whatever happens to it, and comes again after a break, a move or a
//! reject until that time is over.

pub mod fleet;

use hopmoor::broker::{Ask, Broker, Coming, Command, Counters, Order, Said, TransactionId, recorded_site};
use hopmoor::config::Site as Settled;
use hopmoor::pool::{Member as Listed, PoolList};
use hopmoor::{ClassId, Millis, Outcome, Phase, Report, Settings, Tenant, TenantId};
use hopmoor_record::{Header, Keep, RealDisk, Writer};
use hopmoor_standin::plan::{self, Act, Plan, What};
use hopmoor_standin::truth::{Change, Kind, Truth};
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::io;
use std::path::{Path, PathBuf};

/// Runs begin at this Unix time, in milliseconds.
pub const BEGAN: Millis = 1_790_000_000_000.0;
/// The list tells of a change so much later.
const LIST_MS: Millis = 200.0;
/// A dead process stays on the list for so long.
const DEAD_LISTED_MS: Millis = 3_000.0;
/// A member is cold for so long after its start.
const COLD_MS: Millis = 10_000.0;
/// A mute connection ends after this.
const MUTE_MS: Millis = 4_500.0;
/// A probe without an answer ends after this.
const PROBE_MS: Millis = 1_000.0;
/// Records are written this often, and counters every tenth time.
const FLUSH_MS: Millis = 100.0;
/// A node that ends moves its clients within this.
const LEAVE_MS: Millis = 3_200.0;

#[derive(Clone, Debug)]
enum Due {
    Act(usize),
    Over(usize),
    Arrive,
    Ask(u64),
    Answer { node: usize, run: u32, id: TransactionId, flow: u32, outcome: Option<Outcome> },
    Leave(u64),
    Mute { client: u64, epoch: u32 },
    Probe { node: usize, run: u32, member: usize, sent: Millis },
    List { node: usize, run: u32 },
    Gone(usize, u32),
    Silence(usize),
    Flush { node: usize, run: u32 },
    Stop(usize),
}

#[derive(Debug)]
struct Member {
    name: String,
    slots: u32,
    up: bool,
    draining: bool,
    born: Millis,
    /// Counts its starts, so that what was meant for its predecessor is told apart.
    start: u32,
    silent_until: Millis,
    refuses_until: Millis,
    slow_until: Millis,
    slow_ms: Millis,
    held: u32,
    listed: Phase,
}

impl Member {
    fn load(&self) -> f64 {
        f64::from(self.held) / f64::from(self.slots)
    }

    /// How long a message takes there.
    fn message_ms(&self, now: Millis) -> Millis {
        if now < self.slow_until { self.slow_ms } else { 2.0 + 30.0 * (self.load() - 1.0).max(0.0) }
    }

    fn serves(&self, now: Millis, message_aim_ms: Millis) -> bool {
        self.up && now >= self.silent_until && self.message_ms(now) <= message_aim_ms
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum At {
    Away,
    Asking { node: usize, id: TransactionId, member: Option<usize>, flow: u32 },
    Standing { node: usize, id: TransactionId, member: usize },
}

#[derive(Debug)]
struct Client {
    class: usize,
    tenant: usize,
    until: Millis,
    at: At,
    /// Whether and how it has been here before.
    coming: Coming,
    /// Counts its connections.
    epoch: u32,
    /// When its account was last settled.
    settled: Millis,
}

struct Node {
    name: String,
    run: u32,
    broker: Option<Broker>,
    writer: Option<Writer>,
    clients: BTreeMap<TransactionId, u64>,
    leaving: bool,
    flushes: u32,
    deaf_until: Millis,
    seq: u64,
}

/// A site at work.
pub struct Site {
    plan: Plan,
    settled: Settled,
    folder: Option<PathBuf>,
    rng: ChaCha8Rng,
    now: Millis,
    order: u64,
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    due: HashMap<u64, Due>,
    members: Vec<Member>,
    nodes: Vec<Node>,
    clients: BTreeMap<u64, Client>,
    next_client: u64,
    rush: f64,
    truth: Truth,
}

/// Plays a plan to its end. The nodes record into `folder/NODE` if one is given.
///
/// # Errors
/// If the folders can't be made or written to.
pub fn play(plan: &Plan, folder: Option<&Path>) -> io::Result<Truth> {
    let mut site = Site::new(plan.clone(), folder)?;
    site.run();
    Ok(site.truth)
}

impl Site {
    /// The site at its start.
    ///
    /// # Errors
    /// If the folders can't be made or written to.
    pub fn new(plan: Plan, folder: Option<&Path>) -> io::Result<Site> {
        let members = plan.members.iter().map(|member| Member {
            name: member.name.clone(),
            slots: member.slots,
            up: true,
            draining: false,
            born: 0.0,
            start: 0,
            silent_until: 0.0,
            refuses_until: 0.0,
            slow_until: 0.0,
            slow_ms: 0.0,
            held: 0,
            listed: Phase::Serving,
        });
        let mut site = Site {
            settled: settle(&plan),
            folder: folder.map(Path::to_owned),
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            now: BEGAN,
            order: 0,
            heap: BinaryHeap::new(),
            due: HashMap::new(),
            members: members.collect(),
            nodes: Vec::new(),
            clients: BTreeMap::new(),
            next_client: 0,
            rush: 1.0,
            truth: Truth { began: BEGAN, ..Truth::default() },
            plan,
        };
        for name in site.plan.nodes.clone() {
            site.nodes.push(Node {
                name,
                run: 0,
                broker: None,
                writer: None,
                clients: BTreeMap::new(),
                leaving: false,
                flushes: 0,
                deaf_until: 0.0,
                seq: 1,
            });
        }
        for node in 0..site.nodes.len() {
            site.start_node(node)?;
        }
        for (at, act) in site.plan.script.clone().into_iter().enumerate() {
            site.set(BEGAN + act.at_ms, Due::Act(at));
        }
        site.set(BEGAN, Due::Arrive);
        Ok(site)
    }

    /// What has really happened so far.
    pub fn truth(&self) -> &Truth {
        &self.truth
    }

    fn set(&mut self, at: Millis, due: Due) {
        self.order += 1;
        // Whole microseconds sort as numbers.
        let at = ((at - BEGAN).max(0.0) * 1_000.0) as u64;
        self.heap.push(Reverse((at, self.order)));
        self.due.insert(self.order, due);
    }

    fn between(&mut self, least: f64, most: f64) -> f64 {
        self.rng.random_range(least..most)
    }

    /// Plays on to the end of the plan.
    pub fn run(&mut self) {
        let end = BEGAN + self.plan.until_ms;
        loop {
            let next =
                self.heap.peek().map_or(f64::INFINITY, |Reverse((at, _))| BEGAN + *at as f64 / 1_000.0);
            let node = self
                .nodes
                .iter()
                .enumerate()
                .filter_map(|(at, node)| Some((at, node.broker.as_ref()?.next_due()?)));
            let (node, broker_due) = node.min_by(|a, b| a.1.total_cmp(&b.1)).unwrap_or((0, f64::INFINITY));
            let at = next.min(broker_due);
            if at >= end {
                break;
            }
            self.now = self.now.max(at);
            if broker_due < next {
                self.with(node, |broker, now| broker.tick(now));
            } else if let Some(Reverse((_, order))) = self.heap.pop()
                && let Some(due) = self.due.remove(&order)
            {
                self.fall_due(due);
            }
        }
        self.now = end;
        let clients: Vec<u64> = self.clients.keys().copied().collect();
        clients.into_iter().for_each(|client| self.settle(client));
        for node in 0..self.nodes.len() {
            if self.nodes[node].broker.is_some() {
                self.stop_node(node);
            }
        }
    }

    // ---- Nodes ----

    fn start_node(&mut self, at: usize) -> io::Result<()> {
        let seed = self.rng.random();
        let list = self.list(at);
        let now = self.now;
        let mut broker = Broker::new(now, &self.settled, seed, PoolList { whole: true, ..list });
        let node = &mut self.nodes[at];
        node.run += 1;
        (node.leaving, node.flushes, node.deaf_until) = (false, 0, 0.0);
        let run = node.run;
        if let Some(folder) = &self.folder {
            let folder = folder.join(&node.name);
            std::fs::create_dir_all(&folder)?;
            broker.record(now);
            let header = Header {
                node: node.name.clone(),
                program: env!("CARGO_PKG_VERSION").into(),
                started: now,
                base: now,
                wall: now,
                site: recorded_site(&self.settled),
                counters: Counters::NAMES.iter().map(|name| (*name).to_owned()).collect(),
                ..Header::default()
            };
            node.writer = Some(Writer::new(RealDisk, &folder, Keep::default(), header)?);
            self.set(now + FLUSH_MS, Due::Flush { node: at, run });
        }
        self.nodes[at].broker = Some(broker);
        self.with(at, |broker, _| broker.set_ready());
        self.change(at_node(&self.nodes[at].name), Kind::Running, true);
        Ok(())
    }

    /// The node's process ends at once; the last records are torn.
    fn kill_node(&mut self, at: usize) {
        self.flush(at, true);
        let node = &mut self.nodes[at];
        (node.broker, node.writer) = (None, None);
        let clients: Vec<u64> = std::mem::take(&mut node.clients).into_values().collect();
        if let Some(folder) = &self.folder
            && let Ok(listed) = hopmoor_record::Folder::list(&folder.join(&node.name))
            && let Some(last) = listed.segments.last()
            && let Ok(bytes) = std::fs::read(&last.path)
        {
            let _ = std::fs::write(&last.path, &bytes[..bytes.len().saturating_sub(3)]);
        }
        for client in clients {
            self.broken(client, 200.0, 1_500.0);
        }
        self.change(at_node(&self.nodes[at].name), Kind::Running, false);
    }

    fn stop_node(&mut self, at: usize) {
        self.flush(at, false);
        let now = self.now;
        if let Some(broker) = &mut self.nodes[at].broker {
            broker.stopped(now);
        }
        self.flush(at, false);
        let node = &mut self.nodes[at];
        (node.broker, node.writer) = (None, None);
        let clients: Vec<u64> = std::mem::take(&mut node.clients).into_values().collect();
        clients.into_iter().for_each(|client| self.broken(client, 62.0, 1_700.0));
        self.change(at_node(&self.nodes[at].name), Kind::Running, false);
    }

    fn flush(&mut self, at: usize, killed: bool) {
        let now = self.now;
        let node = &mut self.nodes[at];
        let (Some(broker), Some(writer)) = (&mut node.broker, &mut node.writer) else { return };
        node.flushes += 1;
        if node.flushes.is_multiple_of(10) {
            broker.counted(now, now);
        }
        let taken = broker.taken(Vec::new());
        if let Some((missed, since)) = taken.missed {
            writer.missed(missed, since);
        }
        if now < node.deaf_until {
            let first = taken.records.first().map_or(now, |record| record.at);
            writer.missed(taken.records.len() as u64, first);
        } else if !killed || taken.records.len() > 1 {
            writer.write(now, now, &taken.records);
        }
    }

    /// Lets a node's broker do something, and carries out what it orders.
    fn with<T>(&mut self, node: usize, act: impl FnOnce(&mut Broker, Millis) -> T) -> Option<T> {
        let now = self.now;
        let broker = self.nodes[node].broker.as_mut()?;
        let done = act(broker, now);
        let orders: Vec<Order> = std::iter::from_fn(|| broker.order()).collect();
        for order in orders {
            self.carry_out(node, order);
        }
        Some(done)
    }

    fn hear(&mut self, node: usize, id: TransactionId, said: Said) {
        self.with(node, |broker, now| broker.hear(now, id, said));
    }

    fn carry_out(&mut self, node: usize, order: Order) {
        let run = self.nodes[node].run;
        match order {
            Order::Front(id, command) => self.command(node, id, command),
            Order::Probe { dial, .. } => {
                if let Some(member) = self.members.iter().position(|member| member.name == dial) {
                    let sent = self.now;
                    let silent = !self.members[member].up || sent < self.members[member].silent_until;
                    let wait = if silent { PROBE_MS } else { self.between(1.0, 4.0) };
                    self.set(sent + wait, Due::Probe { node, run, member, sent });
                }
            }
            Order::Opened => {}
            Order::Watch(_) | Order::Fetch => self.set(self.now + LIST_MS, Due::List { node, run }),
            Order::Log(_) => {}
        }
    }

    fn command(&mut self, node: usize, id: TransactionId, command: Command) {
        let Some(&client) = self.nodes[node].clients.get(&id) else { return };
        match command {
            Command::Open { dial, .. } => self.open(node, id, client, &dial),
            Command::Abandon => self.release(client),
            Command::Reject(ms) => {
                self.truth.rejected += 1;
                self.away(client);
                self.nodes[node].clients.remove(&id);
                let wait = ms.max(50.0) * self.between(1.0, 1.2);
                self.come_again(client, wait, Coming::Retry);
            }
            Command::Fail(_) => {
                self.truth.failed += 1;
                self.away(client);
                self.nodes[node].clients.remove(&id);
                let wait = self.between(300.0, 900.0);
                self.come_again(client, wait, Coming::Retry);
            }
            Command::Move => {
                self.truth.moved += 1;
                self.away(client);
                self.nodes[node].clients.remove(&id);
                let wait = self.between(40.0, 160.0);
                self.come_again(client, wait, Coming::Return);
            }
            Command::Ready | Command::Unready => {}
        }
    }

    fn open(&mut self, node: usize, id: TransactionId, client: u64, dial: &str) {
        let Some(member) = self.members.iter().position(|member| member.name == dial) else { return };
        let Some(of) = self.clients.get_mut(&client) else { return };
        let At::Asking { flow, .. } = of.at else { return };
        let flow = flow + 1;
        let run = self.nodes[node].run;
        let (now, wait) = (self.now, self.between(3.0, 9.0));
        let there = &self.members[member];
        let crowd = f64::from(there.held.saturating_sub(there.slots)) * 15.0;
        let full = there.load() >= 1.5 || now < there.refuses_until;
        let takes = there.up && !full;
        let outcome = match (there.up, now < there.silent_until, full) {
            (false, _, _) => Some(Outcome::Unreachable),
            (true, true, _) => None,
            (true, false, true) => Some(Outcome::Full),
            (true, false, false) => Some(Outcome::Ok),
        };
        if let Some(of) = self.clients.get_mut(&client) {
            let held = takes.then_some(member);
            of.at = At::Asking { node, id, member: held, flow };
        }
        self.members[member].held += u32::from(takes);
        if outcome.is_some() {
            self.set(now + wait + crowd, Due::Answer { node, run, id, flow, outcome });
        } else {
            self.hear(node, id, Said::Connected);
        }
    }

    // ---- Clients ----

    fn arrive(&mut self) {
        let rate = self.plan.arrivals_per_s * self.rush / 1_000.0;
        let draw: f64 = self.between(1e-12, 1.0);
        let wait = -draw.ln() / rate;
        self.set(self.now + wait, Due::Arrive);
        let pick = |parts: &mut dyn Iterator<Item = f64>, mut draw: f64| {
            let mut last = 0;
            for (at, part) in parts.enumerate() {
                last = at;
                if draw < part {
                    break;
                }
                draw -= part;
            }
            last
        };
        let (a, b) = (self.between(0.0, 1.0), self.between(0.0, 1.0));
        let class = pick(&mut self.plan.classes.iter().map(|class| class.part), a);
        let tenant = pick(&mut self.plan.tenants.iter().map(|tenant| tenant.1), b);
        let draw: f64 = self.between(1e-12, 1.0);
        let life = -draw.ln() * self.plan.life_ms;
        self.next_client += 1;
        let client = self.next_client;
        let (until, settled) = (self.now + life, self.now);
        self.clients.insert(
            client,
            Client { class, tenant, until, at: At::Away, coming: Coming::First, epoch: 0, settled },
        );
        self.truth.clients += 1;
        self.set(until, Due::Leave(client));
        self.ask(client);
    }

    fn ask(&mut self, client: u64) {
        self.settle(client);
        let up: Vec<usize> = (0..self.nodes.len())
            .filter(|at| self.nodes[*at].broker.is_some() && !self.nodes[*at].leaving)
            .collect();
        let Some(of) = self.clients.get(&client) else { return };
        if of.at != At::Away {
            return;
        }
        let (class, tenant, coming) = (of.class, of.tenant, of.coming);
        if up.is_empty() {
            return self.come_again(client, 500.0, coming);
        }
        let node = up[self.rng.random_range(0..up.len())];
        let Some(id) = self.nodes[node].broker.as_mut().map(Broker::next_id) else { return };
        self.nodes[node].clients.insert(id, client);
        if let Some(of) = self.clients.get_mut(&client) {
            of.at = At::Asking { node, id, member: None, flow: 0 };
            of.epoch += 1;
        }
        let ask = Ask {
            name: Some(format!("c{client}").into()),
            class: ClassId(class as u32),
            tenant: TenantId(tenant as u32),
            group: None,
            key: None,
            grace_ms: self.plan.classes[class].grace_ms,
            load_hint: None,
            adopted: None,
            coming,
            negotiates: false,
        };
        self.hear(node, id, Said::Ask(ask));
    }

    fn come_again(&mut self, client: u64, after: Millis, coming: Coming) {
        if let Some(of) = self.clients.get_mut(&client) {
            of.coming = coming;
        }
        self.set(self.now + after, Due::Ask(client));
    }

    /// Its connection or attempt ended at the member's side.
    fn release(&mut self, client: u64) {
        self.settle(client);
        let Some(of) = self.clients.get_mut(&client) else { return };
        let member = match &mut of.at {
            At::Asking { member, .. } => member.take(),
            At::Standing { member, .. } => Some(*member),
            At::Away => None,
        };
        if let Some(member) = member {
            let there = &mut self.members[member];
            there.held = there.held.saturating_sub(1);
        }
    }

    fn away(&mut self, client: u64) {
        self.release(client);
        if let Some(of) = self.clients.get_mut(&client) {
            of.at = At::Away;
        }
    }

    fn broken(&mut self, client: u64, least: f64, most: f64) {
        self.away(client);
        let wait = self.between(least, most);
        self.come_again(client, wait, Coming::Return);
    }

    fn leave(&mut self, client: u64) {
        self.settle(client);
        let Some(of) = self.clients.get(&client) else { return };
        let at = of.at;
        self.away(client);
        self.clients.remove(&client);
        if let At::Asking { node, id, .. } | At::Standing { node, id, .. } = at {
            self.nodes[node].clients.remove(&id);
            self.hear(node, id, Said::Left);
        }
    }

    /// Brings the account of what it wanted and got up to now.
    fn settle(&mut self, client: u64) {
        let Some(of) = self.clients.get_mut(&client) else { return };
        let class = &self.plan.classes[of.class];
        let from = std::mem::replace(&mut of.settled, self.now);
        let worth = (self.now.min(of.until) - from).max(0.0) / 1_000.0 * class.worth;
        self.truth.wanted += worth;
        if let At::Standing { member, .. } = of.at
            && self.members[member].serves(from, class.message_aim_ms)
        {
            self.truth.served += worth;
        }
    }

    /// Settles the accounts of all that stand at a member, before it changes.
    fn settle_at(&mut self, which: usize) {
        let there = |of: &Client| matches!(of.at, At::Standing { member, .. } if member == which);
        let clients: Vec<u64> = self.clients.iter().filter(|(_, of)| there(of)).map(|(id, _)| *id).collect();
        clients.into_iter().for_each(|client| self.settle(client));
    }

    // ---- Members and discovery ----

    fn list(&self, node: usize) -> PoolList {
        let members =
            self.members.iter().filter(|member| member.listed != Phase::Gone).map(|member| Listed {
                name: member.name.clone(),
                dial: member.name.clone(),
                zone: 0,
                cell: 0,
                phase: member.listed,
                weight: 1.0,
                born: (member.born > 0.0).then_some(member.born),
            });
        PoolList { seq: self.nodes[node].seq, whole: true, members: members.collect() }
    }

    /// All nodes hear of the list as it stands now, a little later.
    fn relist(&mut self) {
        for node in 0..self.nodes.len() {
            let run = self.nodes[node].run;
            self.nodes[node].seq += 1;
            self.set(self.now + LIST_MS, Due::List { node, run });
        }
    }

    fn member(&self, name: &str) -> Option<usize> {
        self.members.iter().position(|member| member.name == name)
    }

    /// A member's process ends: what it holds breaks.
    fn end_member(&mut self, which: usize) {
        self.settle_at(which);
        self.members[which].up = false;
        let there = |of: &Client| match of.at {
            At::Standing { node, id, member } if member == which => Some((node, id, true)),
            At::Asking { node, id, member: Some(member), .. } if member == which => Some((node, id, false)),
            _ => None,
        };
        let hit: Vec<_> =
            self.clients.iter().filter_map(|(client, of)| Some((*client, there(of)?))).collect();
        for (client, (node, id, stood)) in hit {
            if stood {
                self.broken(client, 62.0, 1_700.0);
                self.nodes[node].clients.remove(&id);
            } else {
                self.release(client);
            }
            self.hear(node, id, Said::Ended(Outcome::Reset, None));
        }
        self.members[which].held = 0;
        let name = self.members[which].name.clone();
        self.change(name, Kind::Gone, true);
    }

    fn change(&mut self, subject: String, what: Kind, begins: bool) {
        let at_ms = self.now - BEGAN;
        self.truth.changes.push(Change { at_ms, subject, what, begins });
    }

    // ---- What falls due ----

    fn fall_due(&mut self, due: Due) {
        match due {
            Due::Act(at) => self.act(at),
            Due::Over(at) => self.act_over(at),
            Due::Arrive => self.arrive(),
            Due::Ask(client) => self.ask(client),
            Due::Leave(client) => self.leave(client),
            Due::Answer { node, run, id, flow, outcome } if self.nodes[node].run == run => {
                self.answered(node, id, flow, outcome);
            }
            Due::Mute { client, epoch } => self.mute(client, epoch),
            Due::Probe { node, run, member, sent } if self.nodes[node].run == run => {
                self.probed(node, member, sent);
            }
            Due::List { node, run } if self.nodes[node].run == run => {
                let list = self.list(node);
                self.with(node, |broker, now| broker.listed(now, list));
            }
            Due::Gone(member, start) => {
                if self.members[member].start == start && !self.members[member].up {
                    self.members[member].listed = Phase::Gone;
                    self.relist();
                }
            }
            Due::Silence(member) => self.mute_all(member),
            Due::Flush { node, run } if self.nodes[node].run == run && self.nodes[node].broker.is_some() => {
                self.flush(node, false);
                self.set(self.now + FLUSH_MS, Due::Flush { node, run });
            }
            Due::Stop(node) => self.stop_node(node),
            Due::Answer { .. } | Due::Probe { .. } | Due::List { .. } | Due::Flush { .. } => {}
        }
    }

    fn answered(&mut self, node: usize, id: TransactionId, flow: u32, outcome: Option<Outcome>) {
        let Some(&client) = self.nodes[node].clients.get(&id) else { return };
        let Some(At::Asking { flow: now_out, member, .. }) = self.clients.get(&client).map(|of| of.at) else {
            return;
        };
        if now_out != flow {
            return;
        }
        self.hear(node, id, Said::Connected);
        match (outcome, member) {
            (Some(Outcome::Ok), Some(member)) => {
                self.settle(client);
                if let Some(of) = self.clients.get_mut(&client) {
                    of.at = At::Standing { node, id, member };
                    let epoch = of.epoch;
                    if self.now < self.members[member].silent_until {
                        self.set(self.now + MUTE_MS, Due::Mute { client, epoch });
                    }
                }
                self.hear(node, id, Said::Up);
            }
            (Some(Outcome::Ok), None) | (None, _) => {}
            (Some(outcome), _) => {
                let load = None;
                self.hear(node, id, Said::Ended(outcome, Some(Report { load_over_capacity: load })));
            }
        }
    }

    /// A connection on which nothing is answered ends, as the front sees to it.
    fn mute(&mut self, client: u64, epoch: u32) {
        let Some(of) = self.clients.get(&client).filter(|of| of.epoch == epoch) else { return };
        let At::Standing { node, id, member } = of.at else { return };
        if self.now < self.members[member].silent_until {
            self.broken(client, 40.0, 160.0);
            self.nodes[node].clients.remove(&id);
            self.hear(node, id, Said::Ended(Outcome::TimedOut, None));
        }
    }

    /// A member has gone silent: each connection there hears nothing from its next line on, which comes within 2 s.
    fn mute_all(&mut self, which: usize) {
        let there = |of: &Client| matches!(of.at, At::Standing { member, .. } if member == which);
        let hit: Vec<_> =
            self.clients.iter().filter(|(_, of)| there(of)).map(|(client, of)| (*client, of.epoch)).collect();
        for (client, epoch) in hit {
            let line = self.between(0.0, 2_000.0);
            self.set(self.now + line + MUTE_MS, Due::Mute { client, epoch });
        }
    }

    fn probed(&mut self, node: usize, member: usize, sent: Millis) {
        let there = &self.members[member];
        let silent = sent < there.silent_until;
        let (outcome, report, message) = match (there.up, silent) {
            (false, _) => (Outcome::Unreachable, None, None),
            (true, true) => (Outcome::TimedOut, None, None),
            (true, false) => {
                let report = Report { load_over_capacity: Some(there.load()) };
                (Outcome::Ok, Some(report), Some(there.message_ms(self.now)))
            }
        };
        let name = there.name.clone();
        self.with(node, |broker, now| {
            if let Some(member) = broker.member_named(&name) {
                broker.probed(now, member, outcome, report, message);
            }
        });
    }

    // ---- The script ----

    fn act(&mut self, at: usize) {
        let Act { what, .. } = self.plan.script[at].clone();
        match what {
            What::Silent { member, for_ms } => {
                let Some(which) = self.member(&member) else { return };
                self.settle_at(which);
                self.members[which].silent_until = self.now + for_ms;
                self.change(member, Kind::Silent, true);
                self.set(self.now, Due::Silence(which));
                self.set(self.now + for_ms, Due::Over(at));
            }
            What::Slow { member, message_ms, for_ms } => {
                let Some(which) = self.member(&member) else { return };
                self.settle_at(which);
                (self.members[which].slow_until, self.members[which].slow_ms) =
                    (self.now + for_ms, message_ms);
                self.change(member, Kind::Slow, true);
                self.set(self.now + for_ms, Due::Over(at));
            }
            What::Refusing { member, for_ms } => {
                let Some(which) = self.member(&member) else { return };
                self.members[which].refuses_until = self.now + for_ms;
                self.change(member, Kind::Refusing, true);
                self.set(self.now + for_ms, Due::Over(at));
            }
            What::Drain { member, for_ms } => {
                let Some(which) = self.member(&member) else { return };
                self.members[which].draining = true;
                self.members[which].listed = Phase::Draining;
                self.relist();
                self.change(member, Kind::Draining, true);
                self.set(self.now + for_ms, Due::Over(at));
            }
            What::Kill { member } => {
                let Some(which) = self.member(&member) else { return };
                self.end_member(which);
                let start = self.members[which].start;
                self.set(self.now + DEAD_LISTED_MS, Due::Gone(which, start));
            }
            What::Start { member } => {
                let Some(which) = self.member(&member) else { return };
                let now = self.now;
                let there = &mut self.members[which];
                (there.up, there.draining, there.listed) = (true, false, Phase::Serving);
                (there.born, there.held, there.silent_until) = (now, 0, 0.0);
                (there.refuses_until, there.slow_until) = (0.0, 0.0);
                there.start += 1;
                self.relist();
                self.change(member.clone(), Kind::Gone, false);
                self.change(member, Kind::Cold, true);
                self.set(now + COLD_MS, Due::Over(at));
            }
            What::Rush { factor, for_ms } => {
                self.rush = factor;
                self.set(self.now + for_ms, Due::Over(at));
            }
            What::KillNode { node } => {
                if let Some(node) = self.node(&node) {
                    self.kill_node(node);
                }
            }
            What::StartNode { node } => {
                if let Some(node) = self.node(&node)
                    && self.nodes[node].broker.is_none()
                {
                    // A folder that can't be written to ends the recording, not the site.
                    let _ = self.start_node(node);
                }
            }
            What::EndNode { node } => {
                let Some(node) = self.node(&node) else { return };
                self.nodes[node].leaving = true;
                self.with(node, |broker, now| broker.leave(now));
                self.set(self.now + LEAVE_MS + 100.0, Due::Stop(node));
            }
            What::Deafen { node, for_ms } => {
                let Some(at) = self.node(&node) else { return };
                self.nodes[at].deaf_until = self.now + for_ms;
                self.change(node, Kind::Deaf, true);
            }
        }
    }

    fn act_over(&mut self, at: usize) {
        match self.plan.script[at].what.clone() {
            What::Silent { member, .. } => {
                if let Some(which) = self.member(&member).filter(|which| self.members[*which].up) {
                    // What stood there is served again from now on; before it was not.
                    let until = std::mem::replace(&mut self.members[which].silent_until, f64::INFINITY);
                    self.settle_at(which);
                    self.members[which].silent_until = until;
                    self.change(member, Kind::Silent, false);
                }
            }
            What::Slow { member, .. } => {
                if let Some(which) = self.member(&member).filter(|which| self.members[*which].up) {
                    self.settle_at(which);
                    self.change(member, Kind::Slow, false);
                }
            }
            What::Refusing { member, .. } => self.change(member, Kind::Refusing, false),
            What::Drain { member, .. } => {
                if let Some(which) = self.member(&member) {
                    self.change(member, Kind::Draining, false);
                    self.end_member(which);
                    self.members[which].listed = Phase::Gone;
                    self.relist();
                }
            }
            What::Start { member } => self.change(member, Kind::Cold, false),
            What::Rush { .. } => self.rush = 1.0,
            What::Kill { .. }
            | What::KillNode { .. }
            | What::StartNode { .. }
            | What::EndNode { .. }
            | What::Deafen { .. } => {}
        }
    }

    fn node(&self, name: &str) -> Option<usize> {
        self.nodes.iter().position(|node| node.name == name)
    }
}

fn at_node(name: &str) -> String {
    name.to_owned()
}

/// The settings of a node at such a site: probes are cheap there.
fn settle(plan: &Plan) -> Settled {
    let class = |class: &plan::Class| hopmoor::Class {
        aim_ms: class.aim_ms,
        worth: class.worth,
        message_aim_ms: class.message_aim_ms,
        ..hopmoor::Class::default()
    };
    let slots: f64 = plan.members.iter().map(|member| f64::from(member.slots)).sum();
    let tenant = |(_, part): &(String, f64)| Tenant { quota_connections: slots * part, contract: None };
    let settings = Settings {
        balancers: plan.nodes.len().max(1) as u32,
        classes: plan.classes.iter().map(class).collect(),
        tenants: plan.tenants.iter().map(tenant).collect(),
        probing: true,
        reports: true,
        tells_delay: true,
        cancel: true,
        discovery_on_request: true,
        most_tries: 6,
        max_retry_after_ms: 1_000.0,
        cold_ms: COLD_MS,
        ..Settings::default()
    };
    Settled {
        settings,
        classes: plan.classes.iter().map(|class| class.name.clone()).collect(),
        tenants: plan.tenants.iter().map(|tenant| tenant.0.clone()).collect(),
        zones: vec!["a".into()],
        keepalive_ms: 5_000.0,
        ..Settled::default()
    }
}
