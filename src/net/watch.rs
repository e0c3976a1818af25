//! Watches discovery: one call after the other while the broker wants to be told.

use super::Node;
use crate::api::Millis;
use crate::broker::ListError;
use crate::discovery::{Call, Reply, changes_request, full_list_request};
use crate::freshness::{CallFailure, PROMPT_REFUSAL_MS};
use crate::pool::decode;
use slog::warn;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// Discovery may keep a call this long; the first of a watch is answered at once. What it has to tell counts as told 6 s after it
/// has it, whether it arrived or not: a watch that has gone silent is given up, and the next call answered, within that.
const WAIT_MS: u64 = 2_000;
const FIRST_WAIT_MS: u64 = 1;
/// An answer that is this late will not come.
const LATE: Duration = Duration::from_millis(1_000);
/// While an answer comes on it is read on, however long the list: one begun anew would take as long. It may stand still for the
/// first of these, as a discovery with many callers writes to all of them; after that time it has to be on course: one that tells its
/// length to be whole within the second, one that doesn't to bring so many bytes a second, as it may never end.
const READ_GRACE: Duration = LATE_IN_LINE;
/// One that stands still for so long may have been written whole, and what it tells then counts as told.
const STILL: Duration = Duration::from_millis(250);
const READ_WITHIN: Duration = Duration::from_secs(20);
const BYTES_A_SECOND: f64 = 16_384.0;
/// After an answer that took longer than this to read the next call is answered at once: what was read may be overtaken.
const SLOW: Duration = Duration::from_millis(500);
/// The call that begins a watch stands in line with those of all other nodes. One given up while it waits is served
/// all the same, for nobody, and asked again: a hundred nodes kept a discovery busy with such calls for 13 s. So it is
/// waited for until discovery itself gives it up: in turn for 2 s, and some time to answer. So is the first at a new
/// address, where all nodes call at once as well.
const LATE_IN_LINE: Duration = Duration::from_millis(2_600);
/// Discovery says so when it is down, and when a call has waited for too long: both after some 2 s, so that they can't be told apart.
/// A node that took the first for the second would send nothing for the whole of an outage.
const UNAVAILABLE: u16 = 503;
/// A new address may not answer yet: it is called again after a pause, until so long after it was named.
const AGAIN: Duration = Duration::from_millis(100);
const NAMED: Duration = Duration::from_millis(3_000);

pub(super) async fn watch(node: Rc<Node>, zones: Vec<String>) {
    let (mut fresh, mut anew) = (None, false);
    loop {
        while !node.watching.get() {
            node.watch.notified().await;
        }
        let Some(address) = node.discovery.get() else { return };
        let error = tokio::select! {
            biased;
            // Another address: the call under way ends with its connection, and the new one is asked at once.
            () = node.redirected.notified() => {
                fresh = Some(Instant::now());
                continue;
            }
            error = calls(&node, address, &zones, &mut fresh, &mut anew) => error,
        };
        let FailedCall { failure, error, again } = error;
        node.with(|broker, now| broker.discovery_call_failed(now, failure));
        if again {
            // What it had to tell counts as told: there is no time to lose.
            warn!(node.log, "discovery failed"; "error" => error, "again" => "at once");
            node.with(|broker, _| broker.discovery_call_retried());
            continue;
        }
        if fresh.is_some_and(|named| named.elapsed() < NAMED) && node.watching.get() {
            tokio::time::sleep(AGAIN).await;
            continue;
        }
        // The end of a watch is a failure to the module: it decides when to ask again.
        if node.watching.replace(false) {
            warn!(node.log, "discovery failed"; "error" => error);
            node.with(|broker, now| broker.discovery_failed(now));
        }
    }
}

/// Calls until one fails. At an address that is fresh the whole list comes first: its changes may count from
/// another version than those of the last address; and anew where the last answer was older than the list at hand.
async fn calls(
    node: &Rc<Node>,
    address: SocketAddr,
    zones: &[String],
    fresh: &mut Option<Instant>,
    anew: &mut bool,
) -> FailedCall {
    let authority = address.to_string();
    let mut stream = None;
    let (mut first, mut slow) = (true, false);
    while node.watching.get() {
        let wait = if first || slow || fresh.is_some() { FIRST_WAIT_MS } else { WAIT_MS };
        let request = if fresh.is_some() || std::mem::take(anew) {
            full_list_request(&authority)
        } else {
            changes_request(&authority, node.broker.borrow().pool_seq(), wait)
        };
        let late = if first { LATE_IN_LINE } else { LATE };
        let limit = Duration::from_millis(wait) + late;
        let began = Instant::now();
        if stream.is_none() {
            match connect(address).await {
                Ok(connected) => stream = Some(connected),
                Err(error) => {
                    return FailedCall { failure: CallFailure::Down, error: error.to_string(), again: false };
                }
            }
        }
        // Discovery that is down refuses at once; a call that has waited was in line, or its watch broke.
        let prompt = || first && began.elapsed().as_secs_f64() * 1_000.0 < PROMPT_REFUSAL_MS;
        let failed = |error| {
            let failure = if prompt() { CallFailure::Down } else { CallFailure::Unanswered };
            FailedCall { failure, error, again: false }
        };
        let Answer { reply, began: answered } = match call(node, &mut stream, request, limit).await {
            Ok(answer) => answer,
            Err(NoAnswer::Late) => return FailedCall::unanswered("no answer"),
            Err(NoAnswer::Slow) => return FailedCall::unanswered("answer takes too long"),
            Err(NoAnswer::Broke(error)) => return failed(error.to_string()),
            Err(NoAnswer::Spoilt { began, error }) => return spoilt(node, began, &error, !first),
        };
        slow = answered.elapsed() > SLOW;
        // What it says may be as old as the call: it may have been on its way for all the time since.
        let as_of = |now| now - milliseconds(began.elapsed());
        if reply.status == UNAVAILABLE {
            return FailedCall {
                failure: CallFailure::Down,
                error: format!("status {}", reply.status),
                again: false,
            };
        }
        if reply.status != 200 {
            return failed(format!("status {}", reply.status));
        }
        if !reply.reusable {
            stream = None;
        }
        match decode(&reply.body, zones) {
            // An answer without news says nothing to the module, except that the watch has begun.
            Ok(list) if !first && list.has_no_changes(node.broker.borrow().pool_seq()) => {
                node.with(|broker, now| broker.list_confirmed(now, as_of(now)));
            }
            // The last pool is kept where it is not taken.
            Ok(list) => {
                let taken = node.with(|broker, now| broker.listed(now, list, as_of(now)));
                if let Err(list_error) = taken {
                    *anew = matches!(list_error, ListError::Older { .. });
                    return FailedCall::unanswered(&format!("bad answer: {list_error}"));
                }
            }
            Err(error) => return spoilt(node, answered, &format!("bad answer: {error}"), !first),
        }
        first = fresh.take().is_some();
    }
    FailedCall::unanswered("")
}

/// Why calls have ended.
struct FailedCall {
    failure: CallFailure,
    error: String,
    /// Discovery is called again at once, and not when the module says.
    again: bool,
}

impl FailedCall {
    fn unanswered(error: &str) -> Self {
        FailedCall { failure: CallFailure::Unanswered, error: error.to_owned(), again: false }
    }
}

async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let connected = timeout(LATE, TcpStream::connect(address)).await??;
    let _ = connected.set_nodelay(true);
    Ok(connected)
}

/// How long after its first byte an answer may still be read that has brought so many bytes by now.
fn on_course_until(received: usize, length: Option<usize>) -> Duration {
    let received = received as f64;
    let until = match length {
        Some(length) => READ_WITHIN.mul_f64((received / length.max(1) as f64).min(1.0)),
        None => READ_GRACE + Duration::from_secs_f64(received / BYTES_A_SECOND),
    };
    until.max(READ_GRACE)
}

/// A whole answer, and when its first byte came.
struct Answer {
    reply: Reply,
    began: Instant,
}

/// Why there is none.
enum NoAnswer {
    /// Not one byte came in its time.
    Late,
    /// The connection broke before one came.
    Broke(io::Error),
    /// One began at this time and was cut, stood still, or is no answer.
    Spoilt { began: Instant, error: String },
    /// One still comes, but too slowly: it is not written yet.
    Slow,
}

/// Sends a call and reads its answer, whose first byte has to come within `first`.
async fn call(
    node: &Rc<Node>,
    stream: &mut Option<TcpStream>,
    request: String,
    first: Duration,
) -> Result<Answer, NoAnswer> {
    let Some(open) = stream else { return Err(NoAnswer::Broke(io::ErrorKind::NotConnected.into())) };
    let mut buffer = vec![0u8; 16 * 1024];
    let asked = async {
        open.write_all(request.as_bytes()).await?;
        open.read(&mut buffer).await
    };
    let read = timeout(first, asked).await.map_err(|_| NoAnswer::Late)?.map_err(NoAnswer::Broke)?;
    if read == 0 {
        return Err(NoAnswer::Broke(io::ErrorKind::UnexpectedEof.into()));
    }
    let began = Instant::now();
    let reply = rest(node, open, &mut buffer, read, began).await?;
    Ok(Answer { reply, began })
}

/// Reads an answer to its end, of which `read` bytes have come.
async fn rest(
    node: &Rc<Node>,
    open: &mut TcpStream,
    buffer: &mut [u8],
    mut read: usize,
    began: Instant,
) -> Result<Reply, NoAnswer> {
    let spoilt = |error: &dyn std::fmt::Display| NoAnswer::Spoilt { began, error: error.to_string() };
    let mut call = Call::default();
    let mut received = 0;
    loop {
        if read == 0 {
            return call.end().map_err(|error| spoilt(&error));
        }
        received += read;
        if let Some(reply) = call.take(&buffer[..read]).map_err(|error| spoilt(&error))? {
            return Ok(reply);
        }
        let left = on_course_until(received, call.length()).saturating_sub(began.elapsed());
        if left.is_zero() {
            return Err(NoAnswer::Slow);
        }
        let left = left.min(READ_GRACE);
        let next = match timeout(left.min(STILL), open.read(buffer)).await {
            Ok(next) => next,
            Err(_) if left <= STILL => return Err(NoAnswer::Slow),
            Err(_) => {
                node.with(|broker, now| broker.discovery_answer_invalid(now - milliseconds(began.elapsed())));
                let next = timeout(left - STILL, open.read(buffer)).await;
                next.map_err(|_| spoilt(&"answer stands still"))?
            }
        };
        read = next.map_err(|error| spoilt(&error))?;
    }
}

/// What an answer that can't be read had to tell counts as told. Where a watch stood, it is opened anew at once: once, as the first
/// call of a watch that is spoilt as well is the module's to repeat.
fn spoilt(node: &Rc<Node>, began: Instant, error: &str, stood: bool) -> FailedCall {
    node.with(|broker, now| broker.discovery_answer_invalid(now - milliseconds(began.elapsed())));
    FailedCall { again: stood, ..FailedCall::unanswered(error) }
}

fn milliseconds(time: Duration) -> Millis {
    time.as_secs_f64() * 1_000.0
}
