//! One client that sends at full speed beside others, on the real process.
#[path = "common/node.rs"]
mod process;
#[path = "common/script.rs"]
mod script;

use process::*;
use script::{Member, ScriptedDiscovery};
use std::io::{BufRead, Read, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Requests of other clients during the flood.
const REQUESTS: usize = 20;
/// Longest time that an answer may take: a line may be held back for a second.
const LONGEST_ANSWER: Duration = Duration::from_secs(1);

/// Guards against one client that takes the whole process (picture b of issue 54): its session never waited while
/// there was more to read, so that no other client was accepted or answered.
#[test]
fn a_client_that_sends_at_full_speed_leaves_the_others_their_turn() {
    let (mut discovery, member) = (ScriptedDiscovery::new(), Member::new());
    let node = start_with(&discovery.address);
    discovery.serve_first_list(&[("s-1", &member.address, "Ready")]);
    let is_over = Arc::new(AtomicBool::new(false));
    // The member answers each request and reads on without answering.
    let accepting = is_over.clone();
    let serving = thread::spawn(move || {
        while !accepting.load(Ordering::Relaxed) {
            let Some(mut flow) = member.accept_waiting() else {
                thread::yield_now();
                continue;
            };
            thread::spawn(move || {
                let _ = flow.read_line(&mut String::new());
                let _ = flow.get_mut().write_all(b"UP 7\r\n");
                let _ = std::io::copy(&mut flow, &mut std::io::sink());
            });
        }
    });
    let mut flooding = node.connect();
    assert_eq!(exchange_line(&mut flooding, "OPEN flood f c=chat,t=acme,d=2000\r\n"), "UP 7\r\n");
    let flood_over = is_over.clone();
    let flood = thread::spawn(move || {
        let lines = b"x\r\n".repeat(20_000);
        while !flood_over.load(Ordering::Relaxed) && flooding.get_mut().write_all(&lines).is_ok() {}
    });
    let mut slowest = Duration::ZERO;
    for id in 0..REQUESTS {
        let began = Instant::now();
        let mut client = node.connect();
        let request = format!("OPEN {id} f c=chat,t=acme,d=5000\r\n");
        client.get_mut().write_all(request.as_bytes()).unwrap();
        let mut answer = [0; 6];
        let is_served = client.read_exact(&mut answer).is_ok() && &answer == b"UP 7\r\n";
        assert!(is_served, "request {id} was not served in {:?}", began.elapsed());
        slowest = slowest.max(began.elapsed());
    }
    is_over.store(true, Ordering::Relaxed);
    drop(node);
    flood.join().unwrap();
    serving.join().unwrap();
    assert!(slowest < LONGEST_ANSWER, "the slowest answer took {slowest:?}");
}
