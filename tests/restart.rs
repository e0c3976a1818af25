//! A process that starts while discovery is slow, and what it may do by the list that it was started with.
#[path = "common/node.rs"]
mod node;
use hopmoor_standin::sockets::{Member, StandInRuntime};
use node::*;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

/// A discovery that serves one call after so long, with this list.
fn slow_discovery(after: Duration, list: String) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 1024]).unwrap();
        thread::sleep(after);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
        stream.write_all((head + &list).as_bytes()).unwrap();
        // Kept open until the test ends.
        let _ = stream.read_to_end(&mut Vec::new());
    });
    address
}

fn list(seq: u32, name: &str, dial: &str) -> String {
    format!(
        r#"{{"seq":{seq},"whole":true,"hosts":[{{"host":"{name}","dial":"{dial}","site":"a","block":0,"health":"Ready","share":1.0,"born_ms":0}}]}}"#
    )
}

/// Guards against a process that sends by the list it was started with while discovery keeps its first call in line: that list may
/// be of any age, and a change counts as told 6 s after discovery had it, also for a process that has just started.
#[test]
fn nothing_is_sent_by_the_known_list_while_discovery_keeps_the_first_call_in_line() {
    let runtime = StandInRuntime::new().unwrap();
    let gone = Member::start(&runtime, 1).unwrap();
    let serves = Member::start(&runtime, 2).unwrap();
    let discovery = slow_discovery(Duration::from_millis(2_400), list(7, "s-serves", &serves.address()));
    let known = list(1, "s-gone", &gone.address());
    let config = config(&discovery).replace(r#"{"seq":0,"whole":true,"hosts":[]}"#, &known);
    let node = launch(&config, |_| ());
    let answer = exchange_line(&mut node.connect(), "OPEN 1 f c=chat,t=acme,d=6000\r\n");
    assert_eq!(gone.attempts().0, 0, "sent to one that is gone");
    assert_eq!(answer, "UP 2\r\n");
}

/// Guards against sends by a list that was overtaken by an answer which came cut: discovery wrote who has gone, and what it writes
/// counts as told.
#[test]
fn nothing_is_sent_to_one_that_an_answer_cut_on_its_way_told_gone() {
    let runtime = StandInRuntime::new().unwrap();
    let gone = Member::start(&runtime, 1).unwrap();
    let whole = list(7, "s-gone", &gone.address());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (told, is_told) = std::sync::mpsc::channel();
    thread::spawn(move || {
        let head = |body: &str| format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 1024]).unwrap();
        stream.write_all((head(&whole) + &whole).as_bytes()).unwrap();
        let _ = stream.read(&mut [0; 1024]).unwrap();
        let change = whole.replace(r#""seq":7"#, r#""seq":8"#).replace("Ready", "Gone");
        stream.write_all((head(&change) + &change[..change.len() / 2]).as_bytes()).unwrap();
        drop(stream);
        told.send(std::time::Instant::now()).unwrap();
        // Later calls are taken and not answered.
        let _calls: Vec<_> = listener.incoming().collect();
    });
    let node = launch(&config(&address), |_| ());
    let until = is_told.recv_timeout(Duration::from_secs(10)).unwrap() + Duration::from_millis(800);
    assert!(wait_until(2.0, || std::time::Instant::now() > until));
    let before = gone.attempts().0;
    let answer = exchange_line(&mut node.connect(), "OPEN 1 f c=chat,t=acme,d=1500\r\n");
    assert_eq!((gone.attempts().0 - before, answer.starts_with("BUSY")), (0, true), "{answer}");
}

/// Guards against an answer that counts as new when it arrives: it was on its way while the list changed. What discovery has counts as
/// told 6 s after, so that nothing may be sent from 6.75 s on, whatever else fails then.
#[test]
fn an_answer_that_was_long_on_its_way_is_as_old_as_its_call() {
    let runtime = StandInRuntime::new().unwrap();
    let gone = Member::start(&runtime, 1).unwrap();
    let whole = list(7, "s-gone", &gone.address());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let (called, is_called) = std::sync::mpsc::channel();
    thread::spawn(move || {
        let answer = |body: &str| format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        let (mut stream, _) = listener.accept().unwrap();
        let _ = stream.read(&mut [0; 1024]).unwrap();
        stream.write_all(answer(&whole).as_bytes()).unwrap();
        let _ = stream.read(&mut [0; 1024]).unwrap();
        // The member goes right after this; the answer that says nothing of it comes as late as one may.
        called.send(std::time::Instant::now()).unwrap();
        thread::sleep(Duration::from_millis(2_850));
        stream.write_all(answer(r#"{"seq":7,"whole":false,"hosts":[]}"#).as_bytes()).unwrap();
        // Later calls are taken and not answered.
        let _calls: Vec<_> = listener.incoming().collect();
    });
    let node = launch(&config(&address), |_| ());
    let until = is_called.recv_timeout(Duration::from_secs(10)).unwrap() + Duration::from_millis(6_850);
    assert!(wait_until(10.0, || std::time::Instant::now() > until));
    let before = gone.attempts().0;
    let answer = exchange_line(&mut node.connect(), "OPEN 1 f c=chat,t=acme,d=1500\r\n");
    assert_eq!((gone.attempts().0 - before, answer.starts_with("BUSY")), (0, true), "{answer}");
}
