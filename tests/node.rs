//! The platform node as a process, between a discovery, a member and clients written here, on loopback.
#[path = "common/node.rs"]
mod process;

use process::*;
use std::io::{BufReader, Read, Write};
use std::process::Output;
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn a_node_is_ready_serves_relays_moves_and_ends_well() {
    let (mut node, _site) = start();
    let connect = || node.connect();
    assert_eq!(exchange_line(&mut connect(), "PING\r\n"), "PONG\r\n");
    let mut client = connect();
    assert_eq!(exchange_line(&mut client, "OPEN 1 2 c=chat,t=acme,d=5000\r\n"), "UP 77\r\n");
    assert_eq!(exchange_line(&mut client, "tick\r\n"), "tick\r\n");
    let mut bad = connect();
    assert!(exchange_line(&mut bad, "OPEN 1 2 c=none,t=acme,d=5000\r\n").starts_with("ERR "));
    assert_eq!(bad.read(&mut [0; 9]).unwrap(), 0, "closed after its answer");
    let told = Instant::now();
    node.signal("-TERM");
    let mut late = connect();
    assert_eq!(exchange_line(&mut late, "OPEN 3 4 c=chat,t=acme,d=5000\r\n"), "UP 77\r\n", "still serving");
    for client in [&mut client, &mut late] {
        let mut rest = String::new();
        client.read_to_string(&mut rest).unwrap();
        assert_eq!(rest, "MOVE\r\n");
    }
    drop((client, late));
    assert!(node.child.wait().unwrap().success());
    assert!(told.elapsed() < Duration::from_millis(3_700), "{:?}", told.elapsed());
}

/// 256 descriptors, hundreds of silent clients, and clients that send without end: none of them keeps a real one
/// out, and each gets its error or its end in time.
#[test]
fn bad_clients_are_turned_away_in_time_and_real_ones_served() {
    let (node, _site) = start();
    let connect = || node.connect().into_inner();
    assert_eq!(exchange_line(&mut BufReader::new(connect()), "PING\r\n"), "PONG\r\n");
    let began = Instant::now();
    let silent: Vec<_> = (0..300).map(|_| connect()).collect();
    let mut flood = connect();
    let mut sender = flood.try_clone().unwrap();
    let flooding = thread::spawn(move || {
        let part = vec![b'x'; 1 << 20];
        (0..60).all(|_| sender.write_all(&part).is_ok())
    });
    // All at once, as after a break; with silent ones behind each.
    let mut more = Vec::new();
    let mut real: Vec<_> = (0..80)
        .map(|at| {
            let mut client = connect();
            client.write_all(format!("OPEN {at} 2 c=chat,t=acme,d=5000\r\n").as_bytes()).unwrap();
            more.push(connect());
            BufReader::new(client)
        })
        .collect();
    for client in &mut real {
        assert_eq!(exchange_line(client, ""), "UP 77\r\n");
    }
    assert!(began.elapsed() < Duration::from_secs(2), "{:?}", began.elapsed());
    let mut twice = BufReader::new(connect());
    assert_eq!(exchange_line(&mut twice, "OPEN 7 2 c=chat,t=acme,d=5000\r\n"), "ERR Duplicate\r\n");
    let mut answer = [0; 4];
    flood.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"ERR ");
    for mut client in silent {
        let mut rest = Vec::new();
        let _ = client.read_to_end(&mut rest);
        assert!(rest.starts_with(b"BUSY") || rest.starts_with(b"ERR"), "{rest:?}");
    }
    assert!(began.elapsed() < Duration::from_secs(3), "{:?}", began.elapsed());
    let _ = flooding.join();
    for client in &mut real {
        assert_eq!(exchange_line(client, "tick\r\n"), "tick\r\n");
    }
}

/// SIGHUP: another address of discovery is asked at once and its list taken, under load and twice in a row; a bad
/// file changes nothing; connections are kept.
#[test]
fn a_new_configuration_is_taken_while_the_node_serves() {
    let (old_site, new_site) = (pool(&[77]), pool(&[77, 88]));
    new_site.discovery.set("s-1", &old_site.members[0].address(), "Ready");
    let (old, new) = (old_site.discovery.address(), new_site.discovery.address());
    let node = start_with(&old);
    let mut kept = node.connect();
    assert_eq!(exchange_line(&mut kept, "OPEN 0 2 c=chat,t=acme,d=5000\r\n"), "UP 77\r\n");
    let replace = |text: &str| {
        let whole = node.file.with_extension("new");
        std::fs::write(&whole, text).unwrap();
        std::fs::rename(&whole, &node.file).unwrap();
        node.signal("-HUP");
    };
    replace(&config(&new).replace("sockets\":256", "sockets\":-1"));
    assert!(node.wait_for_log("configuration not taken").contains("limits.sockets"));
    replace(&config("nowhere"));
    assert!(node.wait_for_log("configuration not taken").contains("discovery"));
    replace(&config(&new).replace("\"n\"", "\"m\""));
    replace(&config(&new));
    let line = node.wait_for_log("configuration taken");
    assert!(line.contains(&new), "{line}");
    let told = Instant::now();
    node.wait_for_log("member: s-2");
    assert!(told.elapsed() < Duration::from_secs(1), "{:?}", told.elapsed());
    let mut clients = Vec::new();
    let receipts: Vec<_> = (1..20)
        .map(|id| {
            clients.push(node.connect());
            exchange_line(clients.last_mut().unwrap(), &format!("OPEN {id} 2 c=chat,t=acme,d=5000\r\n"))
        })
        .collect();
    assert!(receipts.contains(&"UP 88\r\n".to_owned()), "{receipts:?}");
    assert_eq!(exchange_line(&mut kept, "tick\r\n"), "tick\r\n");
    node.signal("-USR1");
    let counters = node.wait_for_log("counters");
    assert!(counters.contains("reloads_refused=2") && !counters.contains("reloads=0"), "{counters}");
}

fn run(args: &[&str]) -> (i32, Output) {
    let output = hopmoor().args(args).output().unwrap();
    (output.status.code().unwrap(), output)
}

#[test]
fn the_command_line_says_what_is_wrong() {
    for args in [&[][..], &["dance"], &["serve"], &["version", "--loud"], &["check", "--config"]] {
        let (code, output) = run(args);
        assert!(code == 2 && String::from_utf8_lossy(&output.stderr).contains("usage"), "{args:?}");
    }
    assert_eq!(run(&["serve", "--log-format", "loud"]).0, 2);
    assert_eq!(run(&["help"]).0, 0);
    for command in ["serve", "check", "version", "help"] {
        let (code, output) = run(&[command, "--help"]);
        let told = String::from_utf8_lossy(&output.stdout).into_owned();
        assert!(
            code == 0 && output.stderr.is_empty() && told.contains("usage: hopmoor"),
            "{command}: {told}"
        );
    }
    assert!(String::from_utf8_lossy(&run(&["serve", "--help"]).1.stdout).contains("--log-format"));
    assert!(String::from_utf8_lossy(&run(&["version"]).1.stdout).starts_with("hopmoor "));
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/Cargo.toml");
    for command in ["check", "serve"] {
        let (code, output) = run(&[command, "--config", file]);
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(code == 1 && error.lines().count() == 1 && error.contains("Cargo.toml"), "{error}");
    }
}

#[test]
fn the_operators_file_in_deploy_is_good() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/xmpp.json");
    let (code, output) = run(&["check", "--xmpp", file]);
    assert_eq!(code, 0, "{}", String::from_utf8_lossy(&output.stderr));
}

/// Guards against a call given up while it waits in line at a discovery that all nodes ask at once: it was served for
/// nobody and asked again, and so the line never ended.
#[test]
fn a_call_that_waits_in_line_at_discovery_is_not_given_up() {
    let discovery = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let node = start_with(&discovery.local_addr().unwrap().to_string());
    let (mut call, _) = discovery.accept().unwrap();
    let mut first = [0u8; 512];
    assert!(call.read(&mut first).unwrap() > 0);
    thread::sleep(Duration::from_millis(1_900));
    call.set_nonblocking(true).unwrap();
    let waiting = call.read(&mut first).is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock);
    assert!(waiting, "it was given up");
    call.set_nonblocking(false).unwrap();
    let body = r#"{"seq":5,"whole":true,"hosts":[{"host":"s-9","dial":"127.0.0.1:1","site":"a","block":0,"health":"Ready","share":1.0,"born_ms":0}]}"#;
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    call.write_all(answer.as_bytes()).unwrap();
    assert!(node.wait_for_log("pool member").contains("s-9"));
}
