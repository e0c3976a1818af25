//! Driver of discovery: long-polls it, one call after another, while the broker wants updates.

use super::Node;
use crate::api::Millis;
use crate::broker::ListError;
use crate::discovery::{Call, Reply, changes_request, full_list_request};
use crate::freshness::{CallEnd, CallFailure};
use crate::pool::decode;
use slog::warn;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// Time for which discovery may hold a call while it has no change; the first call of a watch is answered at
/// once. A change counts as known to the node 6 s after discovery had it, whether or not an answer arrived
/// (see `freshness`). With the time-outs below, a silent watch is abandoned and the next call answered within
/// these 6 s.
const LONG_POLL_MS: u64 = 2_000;
/// Hold time of a call that asks for an immediate answer.
const IMMEDIATE_POLL_MS: u64 = 1;
/// Time beyond the hold time after which a call counts as unanswered; also the limit for connecting.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// An answer may pause for this long, as a discovery with many callers writes to all of them in turn. An
/// answer that makes progress is read to its end, however long the list: a new call would take as long. But
/// once this time has passed since its first byte, it has to keep a minimum pace: with a known length, one
/// that completes it within [`MAX_READ_TIME`]; else [`MIN_BYTES_PER_SECOND`], as it may never end.
const READ_GRACE: Duration = QUEUED_ANSWER_TIMEOUT;
/// An answer that pauses for this long may already have been written in full, so its changes count as known
/// to the node.
const STALL_TIMEOUT: Duration = Duration::from_millis(250);
/// Time in which an answer of known length has to be completed, at its pace so far.
const MAX_READ_TIME: Duration = Duration::from_secs(20);
/// Minimum pace of an answer of unknown length.
const MIN_BYTES_PER_SECOND: f64 = 16_384.0;
/// After an answer that took longer than this to read, the next call asks for an immediate answer, as the
/// list just read may be outdated.
const SLOW_READ: Duration = Duration::from_millis(500);
/// Time-out of the first call of a watch, and of the first at a new address, as then all nodes call at once
/// and their calls queue at discovery. Discovery serves a call even if its node has dropped it and calls
/// again: a hundred nodes kept a discovery busy with such calls for 13 s. So the node waits until discovery
/// itself drops the call: 2 s in its queue, and some time to answer.
const QUEUED_ANSWER_TIMEOUT: Duration = Duration::from_millis(2_600);
/// HTTP status that discovery answers when it is down, and also when a call has queued for too long.
/// [`CallFailure::of_call`] tells them apart.
const SERVICE_UNAVAILABLE: u16 = 503;
/// HTTP status of an answer with a list or changes to one. An answer with another status holds no change.
const OK: u16 = 200;
/// A new address of discovery may not answer yet. It is called again at this interval, until
/// [`NEW_ADDRESS_RETRY_TIME`] after it was set.
const NEW_ADDRESS_RETRY_INTERVAL: Duration = Duration::from_millis(100);
const NEW_ADDRESS_RETRY_TIME: Duration = Duration::from_millis(3_000);

/// Watches discovery whenever the broker wants it, until the node has no address of discovery.
pub(super) async fn watch(node: Rc<Node>, zones: Vec<String>) {
    let (mut address_changed_at, mut refetch_whole) = (None, false);
    loop {
        while !node.watching.get() {
            node.watch_changed.notified().await;
        }
        let Some(address) = node.discovery.get() else { return };
        let error = tokio::select! {
            biased;
            // The address has changed: drops the call under way with its connection and calls the new address
            // at once.
            () = node.redirected.notified() => {
                address_changed_at = Some(Instant::now());
                continue;
            }
            error = call_until_failure(
                &node,
                address,
                &zones,
                &mut address_changed_at,
                &mut refetch_whole,
            ) => error,
        };
        let Some(FailedCall { failure, error, retry_now }) = error else { continue };
        node.with(|broker, now| broker.discovery_call_failed(now, failure));
        if retry_now {
            // The changes in the lost answer count as known to the node already, so it calls again without
            // delay.
            warn!(node.log, "discovery failed"; "error" => error, "again" => "at once");
            node.with(|broker, _| broker.discovery_call_retried());
            continue;
        }
        if address_changed_at.is_some_and(|changed_at| changed_at.elapsed() < NEW_ADDRESS_RETRY_TIME)
            && node.watching.get()
        {
            tokio::time::sleep(NEW_ADDRESS_RETRY_INTERVAL).await;
            continue;
        }
        // The decision module is told that the watch has failed, and decides when to call again.
        if node.watching.replace(false) {
            warn!(node.log, "discovery failed"; "error" => error);
            node.with(|broker, now| broker.discovery_failed(now));
        }
    }
}

/// Calls discovery until a call fails; returns `None` once the broker wants no more updates. It first requests the whole list at a new address, whose version
/// numbers may differ from those of the old address, and after an answer that was older than the list in use.
async fn call_until_failure(
    node: &Rc<Node>,
    address: SocketAddr,
    zones: &[String],
    address_changed_at: &mut Option<Instant>,
    refetch_whole: &mut bool,
) -> Option<FailedCall> {
    let authority = address.to_string();
    let mut stream = None;
    let (mut first, mut slow) = (true, false);
    while node.watching.get() {
        let wait =
            if first || slow || address_changed_at.is_some() { IMMEDIATE_POLL_MS } else { LONG_POLL_MS };
        let request = if address_changed_at.is_some() || std::mem::take(refetch_whole) {
            full_list_request(&authority)
        } else {
            changes_request(&authority, node.broker.borrow().pool_seq(), wait)
        };
        let grace = if first { QUEUED_ANSWER_TIMEOUT } else { ANSWER_TIMEOUT };
        let limit = Duration::from_millis(wait) + grace;
        let began = Instant::now();
        if stream.is_none() {
            match connect(address).await {
                Ok(connected) => stream = Some(connected),
                Err(error) => {
                    return Some(FailedCall::new(CallFailure::Down, error.to_string()));
                }
            }
        }
        let failed = |end, error| {
            let failure = CallFailure::of_call(end, milliseconds(began.elapsed()), !first);
            Some(FailedCall::new(failure, error))
        };
        let Answer { reply, began: answered } = match call(node, &mut stream, request, limit).await {
            Ok(answer) => answer,
            Err(NoAnswer::TimedOut) => return Some(FailedCall::unanswered("no answer")),
            Err(NoAnswer::TooSlow) => return Some(FailedCall::unanswered("answer takes too long")),
            Err(NoAnswer::ConnectionFailed(error)) => return failed(CallEnd::Broken, error.to_string()),
            Err(NoAnswer::Invalid { began, error }) => {
                return Some(invalid_answer(node, began, &error, !first));
            }
        };
        slow = answered.elapsed() > SLOW_READ;
        // The answer may be as old as the call, as it may have been in transit for all the time since.
        let as_of = |now| now - milliseconds(began.elapsed());
        if reply.status != OK {
            let is_refusal = reply.status == SERVICE_UNAVAILABLE;
            let end = if is_refusal { CallEnd::Refused } else { CallEnd::Broken };
            return failed(end, format!("status {}", reply.status));
        }
        if !reply.reusable {
            stream = None;
        }
        match decode(&reply.body, zones) {
            // An answer without changes is not passed to the decision module, except the first, which shows
            // that the watch has started.
            Ok(list) if !first && list.has_no_changes(node.broker.borrow().pool_seq()) => {
                node.with(|broker, now| broker.list_confirmed(now, as_of(now)));
            }
            // If the list is rejected, the pool stays as it is.
            Ok(list) => {
                let taken = node.with(|broker, now| broker.listed(now, list, as_of(now)));
                if let Err(list_error) = taken {
                    *refetch_whole = matches!(list_error, ListError::Older { .. });
                    return Some(FailedCall::unanswered(&format!("bad answer: {list_error}")));
                }
            }
            Err(error) => {
                return Some(invalid_answer(node, answered, &format!("bad answer: {error}"), !first));
            }
        }
        first = address_changed_at.take().is_some();
    }
    None
}

/// The call that ended a series of calls.
struct FailedCall {
    failure: CallFailure,
    error: String,
    /// Discovery is called again at once, not when the decision module decides.
    retry_now: bool,
}

impl FailedCall {
    fn new(failure: CallFailure, error: String) -> Self {
        FailedCall { failure, error, retry_now: false }
    }

    fn unanswered(error: &str) -> Self {
        FailedCall::new(CallFailure::Unanswered, error.to_owned())
    }
}

/// Connects to discovery.
async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let connected = timeout(ANSWER_TIMEOUT, TcpStream::connect(address)).await??;
    let _ = connected.set_nodelay(true);
    Ok(connected)
}

/// Time after its first byte up to which an answer may be read, given the bytes received so far.
fn read_time_limit(received: usize, length: Option<usize>) -> Duration {
    let received = received as f64;
    let until = match length {
        Some(length) => MAX_READ_TIME.mul_f64((received / length.max(1) as f64).min(1.0)),
        None => READ_GRACE + Duration::from_secs_f64(received / MIN_BYTES_PER_SECOND),
    };
    until.max(READ_GRACE)
}

/// A complete answer, and when its first byte came.
struct Answer {
    reply: Reply,
    began: Instant,
}

/// Why a call has no complete answer.
enum NoAnswer {
    /// No byte came in time.
    TimedOut,
    /// The connection failed before the first byte, or while an answer was received that holds no change.
    ConnectionFailed(io::Error),
    /// An answer that may hold changes began at this time, but was truncated, stalled or is invalid.
    Invalid { began: Instant, error: String },
    /// An answer is still being received, but too slowly. It is not written in full yet.
    TooSlow,
}

/// Sends a call and reads its answer; `first` limits the time to its first byte.
async fn call(
    node: &Rc<Node>,
    stream: &mut Option<TcpStream>,
    request: String,
    first: Duration,
) -> Result<Answer, NoAnswer> {
    let Some(open) = stream else {
        return Err(NoAnswer::ConnectionFailed(io::ErrorKind::NotConnected.into()));
    };
    let mut buffer = vec![0u8; 16 * 1024];
    let asked = async {
        open.write_all(request.as_bytes()).await?;
        open.read(&mut buffer).await
    };
    let read =
        timeout(first, asked).await.map_err(|_| NoAnswer::TimedOut)?.map_err(NoAnswer::ConnectionFailed)?;
    if read == 0 {
        return Err(NoAnswer::ConnectionFailed(io::ErrorKind::UnexpectedEof.into()));
    }
    let began = Instant::now();
    let reply = read_rest(node, open, &mut buffer, read, began).await?;
    Ok(Answer { reply, began })
}

/// Reads the rest of an answer, whose first `read` bytes are in the buffer.
async fn read_rest(
    node: &Rc<Node>,
    open: &mut TcpStream,
    buffer: &mut [u8],
    mut read: usize,
    began: Instant,
) -> Result<Reply, NoAnswer> {
    let invalid = |call: &Call, error: &dyn std::fmt::Display| match call.status() {
        Some(status) if status != OK => {
            NoAnswer::ConnectionFailed(io::Error::other(format!("status {status}, {error}")))
        }
        _ => NoAnswer::Invalid { began, error: error.to_string() },
    };
    let mut call = Call::default();
    let mut received = 0;
    loop {
        if read == 0 {
            return call.end().map_err(|error| invalid(&call, &error));
        }
        received += read;
        match call.take(&buffer[..read]) {
            Ok(Some(reply)) => return Ok(reply),
            Ok(None) => {}
            Err(error) => return Err(invalid(&call, &error)),
        }
        let left = read_time_limit(received, call.length()).saturating_sub(began.elapsed());
        if left.is_zero() {
            return Err(NoAnswer::TooSlow);
        }
        let left = left.min(READ_GRACE);
        let next = match timeout(left.min(STALL_TIMEOUT), open.read(buffer)).await {
            Ok(next) => next,
            Err(_) if left <= STALL_TIMEOUT => return Err(NoAnswer::TooSlow),
            Err(_) => {
                if call.status().is_none_or(|status| status == OK) {
                    let stalled_for = began.elapsed();
                    node.with(|broker, now| broker.discovery_answer_invalid(now - milliseconds(stalled_for)));
                }
                let next = timeout(left - STALL_TIMEOUT, open.read(buffer)).await;
                next.map_err(|_| invalid(&call, &"answer stands still"))?
            }
        };
        read = next.map_err(|error| invalid(&call, &error))?;
    }
}

/// Handles an invalid answer, whose changes count as known to the node. If a watch was established, it is
/// restarted without delay, but only once: if the first call of the new watch fails as well, the decision
/// module decides when to call again.
fn invalid_answer(node: &Rc<Node>, began: Instant, error: &str, was_established: bool) -> FailedCall {
    node.with(|broker, now| broker.discovery_answer_invalid(now - milliseconds(began.elapsed())));
    FailedCall { retry_now: was_established, ..FailedCall::unanswered(error) }
}

fn milliseconds(time: Duration) -> Millis {
    time.as_secs_f64() * 1_000.0
}
