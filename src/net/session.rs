//! Driver of one client connection and its server-side flow: does the I/O that the front asks for.

use super::Node;
use super::descriptors::NO_ROOM_RETRY_MS;
use super::supervisor::{Panicked, catch_panic};
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

/// Time to write the last bytes for a client and to read what it still sends.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Pause between two reads of what a client still sends after its final response.
const DISCARD_PAUSE: Duration = Duration::from_millis(5);

/// Events that a session handles before others have their turn, at most 4 KiB read for each. A peer that writes at
/// full speed is always ready to be read, so that its session would never wait by itself.
const EVENTS_PER_TURN: usize = 8;
/// Largest empty buffer that is kept for the next bytes.
const MAX_KEPT_BUFFER_BYTES: usize = 4 * 1024;

type Connecting = Pin<Box<dyn Future<Output = io::Result<TcpStream>>>>;

/// The server-side flow.
enum Flow {
    None,
    Connecting(Connecting),
    /// `eof`: the member has closed its write side. `shut_when_written`: to be closed for writing once all is
    /// written. `reported_written`: the front was told that its bytes were written, so the request has begun.
    Open {
        stream: TcpStream,
        eof: bool,
        shut_when_written: bool,
        reported_written: bool,
    },
}

/// What the session was woken by.
enum SessionEvent {
    Command(Option<Command>),
    Connected(io::Result<TcpStream>),
    Client(io::Result<tokio::io::Ready>),
    Member(io::Result<tokio::io::Ready>),
    Tick,
}

/// Runs a session until its connection is closed. A panic ends this session only.
pub(super) async fn run(
    node: Rc<Node>,
    id: TransactionId,
    peer: SocketAddr,
    client: TcpStream,
    front: Box<dyn Front>,
    commands: UnboundedReceiver<Command>,
) {
    if catch_panic(serve(&node, id, peer, client, front, commands)).await == Err(Panicked) {
        node.session_panicked(id);
    }
}

async fn serve(
    node: &Rc<Node>,
    id: TransactionId,
    peer: SocketAddr,
    client: TcpStream,
    mut front: Box<dyn Front>,
    mut commands: UnboundedReceiver<Command>,
) {
    let _ = client.set_nodelay(true);
    let outcome = drive(node, id, peer, &client, front.as_mut(), &mut commands).await;
    match outcome {
        End::Finish => {
            node.descriptors.borrow_mut().linger(id);
            let mut unsent = std::mem::take(front.to_client());
            // An evicted client is sent its rejection as far as its socket takes it at once.
            let _ = write(&client, &mut unsent);
            tokio::select! {
                () = finish(client, unsent) => {}
                // Evicted by the descriptor budget.
                () = evicted_by_budget(&mut commands) => {}
            }
        }
        End::Reset => {
            let _ = client.set_zero_linger();
        }
    }
    // Released only now: a node that shuts down must not exit while a final response is still being written.
    node.descriptors.borrow_mut().release(id);
}

enum End {
    Finish,
    Reset,
}

/// Writes what is left and closes the connection. What the client still sends is read and discarded, or the
/// kernel would answer it with a reset, which may reach the client before the last bytes.
async fn finish(mut client: TcpStream, bytes: Vec<u8>) {
    let close = async {
        client.write_all(&bytes).await?;
        client.shutdown().await?;
        let mut sink = [0u8; 4 * 1024];
        loop {
            client.readable().await?;
            match client.try_read(&mut sink) {
                Ok(0) => return Ok(()),
                // Guards against clients that go on sending at full speed: reading it costs time that others
                // need.
                Ok(_) => tokio::time::sleep(DISCARD_PAUSE).await,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err::<(), io::Error>(error),
            }
        }
    };
    let _ = tokio::time::timeout(CLOSE_TIMEOUT, close).await;
}

/// Completes when the descriptor budget evicts the session by dropping its command sender.
async fn evicted_by_budget(commands: &mut UnboundedReceiver<Command>) {
    while commands.recv().await.is_some() {}
}

/// Whether the descriptor budget has room for the transaction that the client requests.
fn admit_transaction(node: &Rc<Node>, id: TransactionId, peer: SocketAddr, class: ClassId) -> bool {
    let (room, evicted) = node.descriptors.borrow_mut().open(node.clock.now(), id);
    node.report_evicted(evicted);
    if !room {
        node.no_room(id, peer, Some(class));
    }
    room
}

/// Drives the front until its last step.
async fn drive(
    node: &Rc<Node>,
    id: TransactionId,
    peer: SocketAddr,
    client: &TcpStream,
    front: &mut dyn Front,
    commands: &mut UnboundedReceiver<Command>,
) -> End {
    let mut flow = Flow::None;
    let (mut client_eof, mut shut_client_when_written, mut client_write_closed) = (false, false, false);
    let mut buffer = vec![0u8; 4 * 1024];
    let mut requested = false;
    let mut events_in_turn = 0;
    loop {
        while let Some(step) = front.step() {
            match step {
                Step::Notify(front_event) => {
                    requested |= matches!(front_event, FrontEvent::ClientRequest(_));
                    if let FrontEvent::ClientRequest(request) = &front_event
                        && !admit_transaction(node, id, peer, request.class)
                    {
                        front.take(node.clock.now(), Input::Command(Command::Reject(NO_ROOM_RETRY_MS)));
                    } else {
                        node.on_front_event(id, front_event);
                    }
                }
                Step::Dial(dial) => {
                    flow = Flow::Connecting(Box::pin(connect_to(dial)));
                    read_client_now(client, front, node.clock.now(), &mut buffer, &mut client_eof);
                }
                Step::CloseMember => {
                    flush_begun_request(&flow, front.to_member());
                    flow = Flow::None;
                }
                Step::ResetMember => {
                    if let Flow::Open { stream, .. } = &flow {
                        let _ = stream.set_zero_linger();
                    }
                    flow = Flow::None;
                }
                Step::ShutdownMember => {
                    if let Flow::Open { shut_when_written, .. } = &mut flow {
                        *shut_when_written = true;
                    }
                }
                Step::ShutdownClient => shut_client_when_written = true,
                Step::ResetClient => return End::Reset,
                Step::Finish => {
                    flush_begun_request(&flow, front.to_member());
                    return End::Finish;
                }
                Step::Log { what, detail } if node.may_log() => {
                    info!(node.log, "{}", what; "transaction" => id.0, "client" => %peer, "detail" => detail);
                }
                Step::Log { .. } => {}
            }
        }
        // Written without waiting for readiness, as the socket mostly has room.
        if let Err(error) = write(client, front.to_client()) {
            info!(node.log, "client write failed"; "transaction" => id.0, "error" => %error);
            front.to_client().clear();
            front.take(node.clock.now(), Input::ClientReset);
            continue;
        }
        if shut_client_when_written && !client_write_closed && front.to_client().is_empty() {
            client_write_closed = shut_write(client);
        }
        if let Flow::Open { stream, shut_when_written, reported_written, .. } = &mut flow {
            let waited = !front.to_member().is_empty();
            if write(stream, front.to_member()).is_err() {
                flow = Flow::None;
                front.to_member().clear();
                front.take(node.clock.now(), Input::MemberReset);
                continue;
            }
            if front.to_member().is_empty() && (waited || !*reported_written) {
                *reported_written = true;
                front.take(node.clock.now(), Input::MemberWritten);
                // Reported now, not with the member's next byte, which may never come.
                continue;
            }
            if *shut_when_written && front.to_member().is_empty() {
                *shut_when_written = false;
                shut_write(stream);
            }
        }
        if events_in_turn == EVENTS_PER_TURN {
            events_in_turn = 0;
            tokio::task::yield_now().await;
        }
        events_in_turn += 1;
        let client_interest = interest(!client_eof && front.reads_client(), !front.to_client().is_empty());
        let member_interest = match &flow {
            Flow::Open { eof, .. } => interest(!eof && front.reads_member(), !front.to_member().is_empty()),
            _ => None,
        };
        let due = front.due().map(|at| node.clock.instant(at));
        let event = tokio::select! {
            biased;
            command = commands.recv() => SessionEvent::Command(command),
            ready = ready(client, client_interest) => SessionEvent::Client(ready),
            event = member_event(&mut flow, member_interest) => event,
            () = sleep(due) => SessionEvent::Tick,
        };
        let now = node.clock.now();
        match event {
            // The descriptor budget closes a session's channel only once its front is done.
            SessionEvent::Command(None) => return End::Finish,
            SessionEvent::Command(Some(command)) => front.take(now, Input::Command(command)),
            SessionEvent::Connected(Ok(stream)) => {
                let _ = stream.set_nodelay(true);
                flow = Flow::Open { stream, eof: false, shut_when_written: false, reported_written: false };
                front.take(now, Input::MemberConnected);
                read_client_now(client, front, now, &mut buffer, &mut client_eof);
            }
            SessionEvent::Connected(Err(_)) => {
                flow = Flow::None;
                front.take(now, Input::MemberConnectFailed);
            }
            SessionEvent::Client(Ok(ready)) if !ready.is_readable() && !ready.is_read_closed() => {}
            SessionEvent::Client(Ok(_)) if client_eof || !front.reads_client() => {}
            SessionEvent::Client(Ok(_)) => match client.try_read(&mut buffer) {
                Ok(0) => {
                    client_eof = true;
                    front.take(now, Input::ClientEof);
                }
                Ok(read) => {
                    if !requested {
                        node.descriptors.borrow_mut().received_bytes(now, id);
                    }
                    front.take(now, Input::Client(&buffer[..read]));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => front.take(now, Input::ClientReset),
            },
            SessionEvent::Client(Err(_)) => front.take(now, Input::ClientReset),
            SessionEvent::Member(ready) => member_ready(front, &mut flow, now, &mut buffer, ready),
            SessionEvent::Tick => front.take(now, Input::Tick),
        }
    }
}

fn member_ready(
    front: &mut dyn Front,
    flow: &mut Flow,
    now: Millis,
    buffer: &mut [u8],
    ready: io::Result<tokio::io::Ready>,
) {
    let Flow::Open { stream, eof, .. } = flow else { return };
    let read = match ready {
        Ok(ready) if !ready.is_readable() && !ready.is_read_closed() => return,
        Ok(_) if *eof || !front.reads_member() => return,
        Ok(_) => stream.try_read(buffer),
        Err(error) => Err(error),
    };
    match read {
        Ok(0) => {
            *eof = true;
            front.take(now, Input::MemberEof);
        }
        Ok(read) => front.take(now, Input::Member(&buffer[..read])),
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
        Err(_) => {
            *flow = Flow::None;
            front.take(now, Input::MemberReset);
        }
    }
}

/// Reads the client's socket directly before a flow is opened and before its request is written, as the
/// runtime may not have reported the client's data or EOF yet. Guards against attempts for clients that are
/// gone.
fn read_client_now(
    client: &TcpStream,
    front: &mut dyn Front,
    now: Millis,
    buffer: &mut [u8],
    eof: &mut bool,
) {
    // At most two reads, as a client may send without end.
    for _ in 0..2 {
        if *eof || !front.reads_client() {
            return;
        }
        match (&*socket2::SockRef::from(client)).read(buffer) {
            Ok(0) => {
                *eof = true;
                front.take(now, Input::ClientEof);
            }
            Ok(read) => front.take(now, Input::Client(&buffer[..read])),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
            Err(_) => {
                *eof = true;
                front.take(now, Input::ClientReset);
            }
        }
    }
}

async fn connect_to(dial: String) -> io::Result<TcpStream> {
    let address: SocketAddr =
        dial.parse().map_err(|_| io::Error::new(io::ErrorKind::InvalidInput, "not an address"))?;
    TcpStream::connect(address).await
}

/// Writes the unsent rest for a member as far as its socket takes it at once. While the first bytes for the
/// member are not all written, the rest is dropped instead: a request that has not begun must not begin now.
fn flush_begun_request(flow: &Flow, bytes: &mut Vec<u8>) {
    if let Flow::Open { stream, reported_written: true, .. } = flow
        && !bytes.is_empty()
    {
        let _ = stream.try_write(bytes);
    }
    bytes.clear();
}

/// Writes as much as the socket takes without blocking. A large buffer is not kept once it is empty.
fn write(stream: &TcpStream, bytes: &mut Vec<u8>) -> io::Result<()> {
    while !bytes.is_empty() {
        match stream.try_write(bytes) {
            Ok(written) => drop(bytes.drain(..written)),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
            Err(error) => return Err(error),
        }
    }
    if bytes.is_empty() && bytes.capacity() > MAX_KEPT_BUFFER_BYTES {
        *bytes = Vec::new();
    }
    Ok(())
}

/// Closes the write side of a connection.
fn shut_write(stream: &TcpStream) -> bool {
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

async fn member_event(flow: &mut Flow, interest: Option<Interest>) -> SessionEvent {
    match flow {
        Flow::None => std::future::pending().await,
        Flow::Connecting(connecting) => SessionEvent::Connected(connecting.await),
        Flow::Open { stream, .. } => SessionEvent::Member(ready(stream, interest).await),
    }
}

async fn sleep(due: Option<tokio::time::Instant>) {
    match due {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}
