//! One client connection: reads and writes for its front.

use super::Node;
use super::descriptors::NO_ROOM_RETRY_MS;
use crate::api::{ClassId, Millis};
use crate::broker::{Command, FrontEvent, TransactionId};
use crate::front::{Front, Input, Step};
use slog::info;
use std::future::Future;
use std::io::{self, Read};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;

/// The last bytes for a client are written within this.
const FLUSH: Duration = Duration::from_millis(1_000);
/// Pause between two reads of what a client still sends after its last word.
const SINK_PAUSE: Duration = Duration::from_millis(5);

type Connecting = Pin<Box<dyn Future<Output = io::Result<TcpStream>>>>;

enum Member {
    None,
    Connecting(Connecting),
    Open { stream: TcpStream, ended: bool, end: bool, told: bool },
}

enum Happened {
    Command(Option<Command>),
    Connected(io::Result<TcpStream>),
    Client(io::Result<tokio::io::Ready>),
    Member(io::Result<tokio::io::Ready>),
    Tick,
}

pub(super) async fn run(
    node: Rc<Node>,
    id: TransactionId,
    peer: SocketAddr,
    client: TcpStream,
    mut front: Box<dyn Front>,
    mut commands: UnboundedReceiver<Command>,
) {
    let _ = client.set_nodelay(true);
    let end = drive(&node, id, peer, &client, front.as_mut(), &mut commands).await;
    match end {
        End::Finish => {
            node.descriptors.borrow_mut().linger(id);
            let mut last = std::mem::take(front.to_client());
            // One that has given way already still hears why, as far as its socket takes it at once.
            let _ = write(&client, &mut last);
            tokio::select! {
                () = finish(client, last) => {}
                // It had to give way to others.
                () = given_way(&mut commands) => {}
            }
        }
        End::Reset => {
            let _ = client.set_zero_linger();
        }
    }
    // Only now: a node that leaves must not end while a last word is still being written.
    node.descriptors.borrow_mut().release(id);
}

enum End {
    Finish,
    Reset,
}

/// Writes what is left and closes; what the client still sends is read, or the kernel would answer it with a
/// reset that may overtake the last bytes.
async fn finish(mut client: TcpStream, bytes: Vec<u8>) {
    let last = async {
        client.write_all(&bytes).await?;
        client.shutdown().await?;
        let mut sink = [0u8; 4 * 1024];
        loop {
            client.readable().await?;
            match client.try_read(&mut sink) {
                Ok(0) => return Ok(()),
                // Guards against clients that send on at full speed: what is read of them costs time that
                // others need.
                Ok(_) => tokio::time::sleep(SINK_PAUSE).await,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err::<(), io::Error>(error),
            }
        }
    };
    let _ = tokio::time::timeout(FLUSH, last).await;
}

/// Ends when the session has had to give way.
async fn given_way(commands: &mut UnboundedReceiver<Command>) {
    while commands.recv().await.is_some() {}
}

/// Whether there is room for the transaction that the client asks for.
fn has_room(node: &Rc<Node>, id: TransactionId, peer: SocketAddr, class: ClassId) -> bool {
    let (room, evicted) = node.descriptors.borrow_mut().open(node.clock.now(), id);
    node.report_evicted(evicted);
    if !room {
        node.no_room(id, peer, Some(class));
    }
    room
}

async fn drive(
    node: &Rc<Node>,
    id: TransactionId,
    peer: SocketAddr,
    client: &TcpStream,
    front: &mut dyn Front,
    commands: &mut UnboundedReceiver<Command>,
) -> End {
    let mut server = Member::None;
    let (mut client_ended, mut end_client, mut client_shut) = (false, false, false);
    let mut buffer = vec![0u8; 4 * 1024];
    let mut asked = false;
    loop {
        while let Some(step) = front.step() {
            match step {
                Step::Notify(said) => {
                    asked |= matches!(said, FrontEvent::ClientRequest(_));
                    if let FrontEvent::ClientRequest(ask) = &said
                        && !has_room(node, id, peer, ask.class)
                    {
                        front.take(node.clock.now(), Input::Command(Command::Reject(NO_ROOM_RETRY_MS)));
                    } else {
                        node.on_front_event(id, said);
                    }
                }
                Step::Dial(dial) => {
                    server = Member::Connecting(Box::pin(dial_to(dial)));
                    catch_up(client, front, node.clock.now(), &mut buffer, &mut client_ended);
                }
                Step::CloseMember => {
                    last_words(&server, front.to_member());
                    server = Member::None;
                }
                Step::ResetMember => {
                    if let Member::Open { stream, .. } = &server {
                        let _ = stream.set_zero_linger();
                    }
                    server = Member::None;
                }
                Step::ShutdownMember => {
                    if let Member::Open { end, .. } = &mut server {
                        *end = true;
                    }
                }
                Step::ShutdownClient => end_client = true,
                Step::ResetClient => return End::Reset,
                Step::Finish => {
                    last_words(&server, front.to_member());
                    return End::Finish;
                }
                Step::Log { what, detail } if node.may_log() => {
                    info!(node.log, "{}", what; "transaction" => id.0, "client" => %peer, "detail" => detail);
                }
                Step::Log { .. } => {}
            }
        }
        // Writes are tried at once: most of the time the socket takes them.
        if let Err(error) = write(client, front.to_client()) {
            info!(node.log, "client write failed"; "transaction" => id.0, "error" => %error);
            front.to_client().clear();
            front.take(node.clock.now(), Input::ClientReset);
            continue;
        }
        if end_client && !client_shut && front.to_client().is_empty() {
            client_shut = shut(client);
        }
        if let Member::Open { stream, end, told, .. } = &mut server {
            let waited = !front.to_member().is_empty();
            if write(stream, front.to_member()).is_err() {
                server = Member::None;
                front.to_member().clear();
                front.take(node.clock.now(), Input::MemberReset);
                continue;
            }
            if front.to_member().is_empty() && (waited || !*told) {
                *told = true;
                front.take(node.clock.now(), Input::MemberWritten);
                // The broker hears of it now, not with the next byte: a silent member's may never come.
                continue;
            }
            if *end && front.to_member().is_empty() {
                *end = false;
                shut(stream);
            }
        }
        let client_interest = interest(!client_ended && front.reads_client(), !front.to_client().is_empty());
        let server_interest = match &server {
            Member::Open { ended, .. } => {
                interest(!ended && front.reads_member(), !front.to_member().is_empty())
            }
            _ => None,
        };
        let due = front.due().map(|at| node.clock.instant(at));
        let happened = tokio::select! {
            biased;
            command = commands.recv() => Happened::Command(command),
            ready = ready(client, client_interest) => Happened::Client(ready),
            happened = server_event(&mut server, server_interest) => happened,
            () = sleep(due) => Happened::Tick,
        };
        let now = node.clock.now();
        match happened {
            // The node has let go of this session; it never does that before the front is done.
            Happened::Command(None) => return End::Finish,
            Happened::Command(Some(command)) => front.take(now, Input::Command(command)),
            Happened::Connected(Ok(stream)) => {
                let _ = stream.set_nodelay(true);
                server = Member::Open { stream, ended: false, end: false, told: false };
                front.take(now, Input::MemberConnected);
                catch_up(client, front, now, &mut buffer, &mut client_ended);
            }
            Happened::Connected(Err(_)) => {
                server = Member::None;
                front.take(now, Input::MemberConnectFailed);
            }
            Happened::Client(Ok(ready)) if !ready.is_readable() && !ready.is_read_closed() => {}
            Happened::Client(Ok(_)) if client_ended || !front.reads_client() => {}
            Happened::Client(Ok(_)) => match client.try_read(&mut buffer) {
                Ok(0) => {
                    client_ended = true;
                    front.take(now, Input::ClientEof);
                }
                Ok(read) => {
                    if !asked {
                        node.descriptors.borrow_mut().received_bytes(now, id);
                    }
                    front.take(now, Input::Client(&buffer[..read]));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => front.take(now, Input::ClientReset),
            },
            Happened::Client(Err(_)) => front.take(now, Input::ClientReset),
            Happened::Member(ready) => server_ready(front, &mut server, now, &mut buffer, ready),
            Happened::Tick => front.take(now, Input::Tick),
        }
    }
}

fn server_ready(
    front: &mut dyn Front,
    server: &mut Member,
    now: Millis,
    buffer: &mut [u8],
    ready: io::Result<tokio::io::Ready>,
) {
    let Member::Open { stream, ended, .. } = server else { return };
    let read = match ready {
        Ok(ready) if !ready.is_readable() && !ready.is_read_closed() => return,
        Ok(_) if *ended || !front.reads_member() => return,
        Ok(_) => stream.try_read(buffer),
        Err(error) => Err(error),
    };
    match read {
        Ok(0) => {
            *ended = true;
            front.take(now, Input::MemberEof);
        }
        Ok(read) => front.take(now, Input::Member(&buffer[..read])),
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
        Err(_) => {
            *server = Member::None;
            front.take(now, Input::MemberReset);
        }
    }
}

/// Before a flow is begun, and before its request is written: hears at once what the client has done by now, also where
/// the runtime has not told of it yet. Guards against an attempt for a client that has gone.
fn catch_up(client: &TcpStream, front: &mut dyn Front, now: Millis, buffer: &mut [u8], ended: &mut bool) {
    // Bounded, as one may send on without end.
    for _ in 0..2 {
        if *ended || !front.reads_client() {
            return;
        }
        match (&*socket2::SockRef::from(client)).read(buffer) {
            Ok(0) => {
                *ended = true;
                front.take(now, Input::ClientEof);
            }
            Ok(read) => front.take(now, Input::Client(&buffer[..read])),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
            Err(_) => {
                *ended = true;
                front.take(now, Input::ClientReset);
            }
        }
    }
}

async fn dial_to(dial: String) -> io::Result<TcpStream> {
    let address: SocketAddr =
        dial.parse().map_err(|_| io::Error::new(io::ErrorKind::InvalidInput, "not an address"))?;
    TcpStream::connect(address).await
}

/// What still waits for a member goes out as far as its socket takes it at once; but what was not begun is not begun now.
fn last_words(server: &Member, bytes: &mut Vec<u8>) {
    if let Member::Open { stream, told: true, .. } = server
        && !bytes.is_empty()
    {
        let _ = stream.try_write(bytes);
    }
    bytes.clear();
}

/// Writes as much as the socket takes now.
fn write(stream: &TcpStream, bytes: &mut Vec<u8>) -> io::Result<()> {
    while !bytes.is_empty() {
        match stream.try_write(bytes) {
            Ok(written) => drop(bytes.drain(..written)),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Ends the sending only.
fn shut(stream: &TcpStream) -> bool {
    let _ = socket2::SockRef::from(stream).shutdown(std::net::Shutdown::Write);
    true
}

fn interest(read: bool, write: bool) -> Option<Interest> {
    match (read, write) {
        (true, true) => Some(Interest::READABLE | Interest::WRITABLE),
        (true, false) => Some(Interest::READABLE),
        (false, true) => Some(Interest::WRITABLE),
        (false, false) => None,
    }
}

async fn ready(stream: &TcpStream, interest: Option<Interest>) -> io::Result<tokio::io::Ready> {
    match interest {
        Some(interest) => stream.ready(interest).await,
        None => std::future::pending().await,
    }
}

async fn server_event(server: &mut Member, interest: Option<Interest>) -> Happened {
    match server {
        Member::None => std::future::pending().await,
        Member::Connecting(connecting) => Happened::Connected(connecting.await),
        Member::Open { stream, .. } => Happened::Member(ready(stream, interest).await),
    }
}

async fn sleep(due: Option<tokio::time::Instant>) {
    match due {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}
