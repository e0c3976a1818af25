//! A relay stands for one process: what the others send to it comes here first, as datagrams or connections. Who sends is
//! told by the address that it comes from; how it is treated is asked for each datagram and each piece of a connection.

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

/// How what comes from an address is treated now on its way to this relay's process, or the other way where `back` is
/// set. `None`: it is no node's address.
pub type Rule = Rc<dyn Fn(IpAddr, bool) -> Option<LinkCondition>>;

/// A connection over a cut link is held so long without a byte, as packets that get lost would have it.
const HELD: Duration = Duration::from_secs(6);
/// Pieces in which a connection is passed on.
const PIECE: usize = 16 * 1024;
/// Tries for a port that is free for datagrams and connections both.
const TRIES: usize = 32;

/// A relay, which ends when it is dropped.
pub struct Relay {
    address: SocketAddr,
    to: watch::Sender<Option<SocketAddr>>,
    _end: watch::Sender<()>,
}

impl Relay {
    /// Begins to relay, to nobody yet. Runs in the local set that it is called in.
    ///
    /// # Errors
    /// If no port is to be had.
    pub async fn start(rule: Rule, seed: u64) -> io::Result<Relay> {
        let mut last = io::ErrorKind::AddrInUse.into();
        for _ in 0..TRIES {
            let udp = UdpSocket::bind("127.0.0.1:0").await?;
            let address = udp.local_addr()?;
            match TcpListener::bind(address).await {
                Ok(tcp) => {
                    let (to, goes_to) = watch::channel(None);
                    let (end, ended) = watch::channel(());
                    let udp = Rc::new(udp);
                    let datagrams =
                        datagrams(udp, rule.clone(), goes_to.clone(), StdRng::seed_from_u64(seed));
                    until(ended.clone(), datagrams);
                    until(ended.clone(), connections(tcp, rule, goes_to, ended));
                    return Ok(Relay { address, to, _end: end });
                }
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    /// Where the others reach the process.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Relays to this process from now on.
    pub fn goes_to(&self, process: Option<SocketAddr>) {
        self.to.send_replace(process);
    }
}

/// Runs until the relay is dropped.
fn until(mut ended: watch::Receiver<()>, what: impl Future<Output = ()> + 'static) {
    tokio::task::spawn_local(async move {
        tokio::select! {
            () = what => {}
            _ = ended.changed() => {}
        }
    });
}

async fn datagrams(udp: Rc<UdpSocket>, rule: Rule, to: watch::Receiver<Option<SocketAddr>>, draws: StdRng) {
    let draws = RefCell::new(draws);
    let mut buffer = vec![0; 65_536];
    loop {
        // An error is about a datagram sent earlier, to a process that is no more.
        let Ok((length, from)) = udp.recv_from(&mut buffer).await else { continue };
        let (Some(manner), Some(to)) = (rule(from.ip(), false), *to.borrow()) else { continue };
        let mut draws = draws.borrow_mut();
        if manner.cut || draws.random_bool(manner.loss.clamp(0.0, 1.0)) {
            continue;
        }
        let times = if draws.random_bool(manner.twice.clamp(0.0, 1.0)) { 2 } else { 1 };
        for _ in 0..times {
            let late = manner.delay_ms + draws.random::<f64>() * manner.jitter_ms;
            let bytes = buffer[..length].to_vec();
            if late <= 0.0 {
                let _ = udp.try_send_to(&bytes, to);
                continue;
            }
            let udp = udp.clone();
            tokio::task::spawn_local(async move {
                tokio::time::sleep(Duration::from_secs_f64(late / 1_000.0)).await;
                let _ = udp.try_send_to(&bytes, to);
            });
        }
    }
}

async fn connections(
    tcp: TcpListener,
    rule: Rule,
    to: watch::Receiver<Option<SocketAddr>>,
    ended: watch::Receiver<()>,
) {
    loop {
        let Ok((stream, from)) = tcp.accept().await else { continue };
        let (rule, to) = (rule.clone(), *to.borrow());
        until(ended.clone(), async move {
            let _ = connection(stream, from.ip(), rule, to).await;
        });
    }
}

async fn connection(caller: TcpStream, from: IpAddr, rule: Rule, to: Option<SocketAddr>) -> io::Result<()> {
    let (Some(manner), Some(to)) = (rule(from, false), to) else { return Ok(()) };
    if manner.cut {
        tokio::time::sleep(HELD).await;
        return Ok(());
    }
    let callee = TcpStream::connect(to).await?;
    let (from_caller, to_caller) = caller.into_split();
    let (from_callee, to_callee) = callee.into_split();
    let left = Rc::new(RefCell::new(0));
    let there = pass(from_caller, to_callee, || rule(from, false), left.clone());
    let back = pass(from_callee, to_caller, || rule(from, true), left);
    // An error on either way ends both.
    tokio::try_join!(there, back).map(|_| ())
}

async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    manner: impl Fn() -> Option<LinkCondition>,
    passed: Rc<RefCell<u64>>,
) -> io::Result<()> {
    let mut buffer = vec![0; PIECE];
    loop {
        let read = from.read(&mut buffer).await?;
        if read == 0 {
            return to.shutdown().await;
        }
        let manner = manner().unwrap_or_default();
        if manner.cut {
            tokio::time::sleep(HELD).await;
            return Err(io::ErrorKind::TimedOut.into());
        }
        let mut late = manner.delay_ms / 1_000.0;
        if manner.bytes_a_second > 0.0 {
            late += read as f64 / manner.bytes_a_second;
        }
        if late > 0.0 {
            tokio::time::sleep(Duration::from_secs_f64(late)).await;
        }
        let mut whole = buffer.get(..read).unwrap_or_default();
        let so_far = *passed.borrow();
        if manner.cut_after > 0 && so_far + read as u64 > manner.cut_after {
            whole = &whole[..(manner.cut_after.saturating_sub(so_far) as usize).min(read)];
            to.write_all(whole).await?;
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        to.write_all(whole).await?;
        *passed.borrow_mut() += read as u64;
    }
}
