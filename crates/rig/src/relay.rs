//! A relay sits in front of one process and passes on the datagrams and connections that other nodes send to
//! it. The source address identifies the sending node. The condition of the link is looked up for each
//! datagram and for each chunk of a connection.

use hopmoor_standin::faults::LinkCondition;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cell::RefCell;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;

/// Returns the current condition of the link from the node at an address to this relay's process, or of the
/// opposite direction if the second argument is true. `None`: the address belongs to no node.
pub type LinkConditionFn = Rc<dyn Fn(IpAddr, bool) -> Option<LinkCondition>>;

/// How long a connection over a cut link stays open without passing a byte before it is closed, as if its
/// packets were lost.
const CUT_HOLD_TIME: Duration = Duration::from_secs(6);
/// Size of the chunks in which the bytes of a connection are passed on.
const CHUNK_BYTES: usize = 16 * 1024;
/// Attempts to find a port that is free for both UDP and TCP.
const BIND_ATTEMPTS: usize = 32;

/// A running relay, which stops when it is dropped.
pub struct Relay {
    address: SocketAddr,
    target_tx: watch::Sender<Option<SocketAddr>>,
    _end: watch::Sender<()>,
}

impl Relay {
    /// Starts a relay without a target. Its tasks run in the caller's `LocalSet`.
    ///
    /// # Errors
    /// If no port is free.
    pub async fn start(link_condition: LinkConditionFn, seed: u64) -> io::Result<Relay> {
        let mut last = io::ErrorKind::AddrInUse.into();
        for _ in 0..BIND_ATTEMPTS {
            let udp = UdpSocket::bind("127.0.0.1:0").await?;
            let address = udp.local_addr()?;
            match TcpListener::bind(address).await {
                Ok(tcp) => {
                    let (target_tx, target) = watch::channel(None);
                    let (end, ended) = watch::channel(());
                    let udp = Rc::new(udp);
                    let datagrams = relay_datagrams(
                        udp,
                        link_condition.clone(),
                        target.clone(),
                        StdRng::seed_from_u64(seed),
                    );
                    spawn_until_end(ended.clone(), datagrams);
                    spawn_until_end(ended.clone(), relay_connections(tcp, link_condition, target, ended));
                    return Ok(Relay { address, target_tx, _end: end });
                }
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    /// Returns the address at which the other nodes reach the process.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Relays to a process at this address from now on; with `None`, drops datagrams and closes new
    /// connections.
    pub fn set_target(&self, process: Option<SocketAddr>) {
        self.target_tx.send_replace(process);
    }
}

/// Spawns a task that is cancelled when the relay is dropped.
fn spawn_until_end(mut ended: watch::Receiver<()>, future: impl Future<Output = ()> + 'static) {
    tokio::task::spawn_local(async move {
        tokio::select! {
            () = future => {}
            _ = ended.changed() => {}
        }
    });
}

async fn relay_datagrams(
    udp: Rc<UdpSocket>,
    link_condition: LinkConditionFn,
    target: watch::Receiver<Option<SocketAddr>>,
    rng: StdRng,
) {
    let rng = RefCell::new(rng);
    let mut buffer = vec![0; 65_536];
    loop {
        // An error here is an ICMP report about an earlier datagram to a process that has ended.
        let Ok((length, from)) = udp.recv_from(&mut buffer).await else { continue };
        let (Some(link), Some(to)) = (link_condition(from.ip(), false), *target.borrow()) else { continue };
        let mut rng = rng.borrow_mut();
        if link.cut || rng.random_bool(link.loss.clamp(0.0, 1.0)) {
            continue;
        }
        let copies = if rng.random_bool(link.twice.clamp(0.0, 1.0)) { 2 } else { 1 };
        for _ in 0..copies {
            let delay_ms = link.delay_ms + rng.random::<f64>() * link.jitter_ms;
            let bytes = buffer[..length].to_vec();
            if delay_ms <= 0.0 {
                let _ = udp.try_send_to(&bytes, to);
                continue;
            }
            let udp = udp.clone();
            tokio::task::spawn_local(async move {
                tokio::time::sleep(Duration::from_secs_f64(delay_ms / 1_000.0)).await;
                let _ = udp.try_send_to(&bytes, to);
            });
        }
    }
}

async fn relay_connections(
    tcp: TcpListener,
    link_condition: LinkConditionFn,
    target: watch::Receiver<Option<SocketAddr>>,
    ended: watch::Receiver<()>,
) {
    loop {
        let Ok((stream, from)) = tcp.accept().await else { continue };
        let (link_condition, to) = (link_condition.clone(), *target.borrow());
        spawn_until_end(ended.clone(), async move {
            let _ = relay_connection(stream, from.ip(), link_condition, to).await;
        });
    }
}

async fn relay_connection(
    caller: TcpStream,
    from: IpAddr,
    link_condition: LinkConditionFn,
    to: Option<SocketAddr>,
) -> io::Result<()> {
    let (Some(link), Some(to)) = (link_condition(from, false), to) else { return Ok(()) };
    if link.cut {
        tokio::time::sleep(CUT_HOLD_TIME).await;
        return Ok(());
    }
    let callee = TcpStream::connect(to).await?;
    let (from_caller, to_caller) = caller.into_split();
    let (from_callee, to_callee) = callee.into_split();
    let passed = Rc::new(RefCell::new(0));
    let forward = copy_direction(from_caller, to_callee, || link_condition(from, false), passed.clone());
    let reverse = copy_direction(from_callee, to_caller, || link_condition(from, true), passed);
    // An error in either direction ends both.
    tokio::try_join!(forward, reverse).map(|_| ())
}

async fn copy_direction(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    link_condition: impl Fn() -> Option<LinkCondition>,
    passed: Rc<RefCell<u64>>,
) -> io::Result<()> {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let read = from.read(&mut buffer).await?;
        if read == 0 {
            return to.shutdown().await;
        }
        let link = link_condition().unwrap_or_default();
        if link.cut {
            tokio::time::sleep(CUT_HOLD_TIME).await;
            return Err(io::ErrorKind::TimedOut.into());
        }
        let mut delay_s = link.delay_ms / 1_000.0;
        if link.bytes_a_second > 0.0 {
            delay_s += read as f64 / link.bytes_a_second;
        }
        if delay_s > 0.0 {
            tokio::time::sleep(Duration::from_secs_f64(delay_s)).await;
        }
        let mut chunk = buffer.get(..read).unwrap_or_default();
        let passed_before = *passed.borrow();
        if link.cut_after > 0 && passed_before + read as u64 > link.cut_after {
            chunk = &chunk[..(link.cut_after.saturating_sub(passed_before) as usize).min(read)];
            to.write_all(chunk).await?;
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        to.write_all(chunk).await?;
        *passed.borrow_mut() += read as u64;
    }
}
