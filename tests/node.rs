//! The node as a process on loopback, between stand-ins for discovery and members, and clients of this test.
#[path = "common/node.rs"]
mod process;

use process::*;
use std::io::{BufReader, Read, Write};
use std::process::Output;
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn a_node_answers_pings_relays_connections_and_moves_them_on_sigterm() {
    let (mut node, _pool) = start();
    let connect = || node.connect();
    assert_eq!(exchange_line(&mut connect(), "PING\r\n"), "PONG\r\n");
    let mut client = connect();
    assert_eq!(exchange_line(&mut client, "OPEN 1 2 c=chat,t=acme,d=5000\r\n"), "UP 77\r\n");
    assert_eq!(exchange_line(&mut client, "tick\r\n"), "tick\r\n");
    let mut invalid_client = connect();
    assert!(exchange_line(&mut invalid_client, "OPEN 1 2 c=none,t=acme,d=5000\r\n").starts_with("ERR "));
    assert_eq!(invalid_client.read(&mut [0; 9]).unwrap(), 0, "the node closes the connection after ERR");
    let sigterm_at = Instant::now();
    node.signal("-TERM");
    let mut late_client = connect();
    assert_eq!(
        exchange_line(&mut late_client, "OPEN 3 4 c=chat,t=acme,d=5000\r\n"),
        "UP 77\r\n",
        "still accepts connections after SIGTERM"
    );
    for client in [&mut client, &mut late_client] {
        let mut rest = String::new();
        client.read_to_string(&mut rest).unwrap();
        assert_eq!(rest, "MOVE\r\n");
    }
    drop((client, late_client));
    assert!(node.child.wait().unwrap().success());
    assert!(sigterm_at.elapsed() < Duration::from_millis(3_700), "{:?}", sigterm_at.elapsed());
}

/// A node with 256 descriptors faces hundreds of silent clients and one that floods it. They must not keep
/// out the clients that send requests; each of them gets an error or a closed connection in time.
#[test]
fn silent_and_flooding_clients_are_rejected_in_time_while_requests_are_served() {
    let (node, _pool) = start();
    let connect = || node.connect().into_inner();
    assert_eq!(exchange_line(&mut BufReader::new(connect()), "PING\r\n"), "PONG\r\n");
    let began = Instant::now();
    let silent: Vec<_> = (0..300).map(|_| connect()).collect();
    let mut flood = connect();
    let mut sender = flood.try_clone().unwrap();
    let flooding = thread::spawn(move || {
        let chunk = vec![b'x'; 1 << 20];
        (0..60).all(|_| sender.write_all(&chunk).is_ok())
    });
    // 80 requests at once, as after an outage, each followed by another silent client.
    let mut more_silent = Vec::new();
    let mut requesting: Vec<_> = (0..80)
        .map(|id| {
            let mut client = connect();
            client.write_all(format!("OPEN {id} 2 c=chat,t=acme,d=5000\r\n").as_bytes()).unwrap();
            more_silent.push(connect());
            BufReader::new(client)
        })
        .collect();
    for client in &mut requesting {
        assert_eq!(exchange_line(client, ""), "UP 77\r\n");
    }
    assert!(began.elapsed() < Duration::from_secs(2), "{:?}", began.elapsed());
    let mut duplicate = BufReader::new(connect());
    assert_eq!(exchange_line(&mut duplicate, "OPEN 7 2 c=chat,t=acme,d=5000\r\n"), "ERR Duplicate\r\n");
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
    for client in &mut requesting {
        assert_eq!(exchange_line(client, "tick\r\n"), "tick\r\n");
    }
}

/// After SIGHUP with another discovery address, the node asks that discovery at once and takes its list, also
/// when SIGHUP comes twice in a row. An invalid file changes nothing. Open connections are kept.
#[test]
fn a_new_configuration_is_applied_while_the_node_serves() {
    let (old_pool, new_pool) = (pool(&[77]), pool(&[77, 88]));
    new_pool.discovery.set("s-1", &old_pool.members[0].address(), "Ready");
    let (old, new) = (old_pool.discovery.address(), new_pool.discovery.address());
    let node = start_with(&old);
    let mut kept = node.connect();
    assert_eq!(exchange_line(&mut kept, "OPEN 0 2 c=chat,t=acme,d=5000\r\n"), "UP 77\r\n");
    let reload = |text: &str| {
        let new_file = node.file.with_extension("new");
        std::fs::write(&new_file, text).unwrap();
        std::fs::rename(&new_file, &node.file).unwrap();
        node.signal("-HUP");
    };
    reload(&config(&new).replace("sockets\":256", "sockets\":-1"));
    assert!(node.wait_for_log("configuration not taken").contains("limits.sockets"));
    reload(&config("nowhere"));
    assert!(node.wait_for_log("configuration not taken").contains("discovery"));
    reload(&config(&new).replace("\"n\"", "\"m\""));
    reload(&config(&new));
    let line = node.wait_for_log("configuration taken");
    assert!(line.contains(&new), "{line}");
    let applied_at = Instant::now();
    node.wait_for_log("member: s-2");
    assert!(applied_at.elapsed() < Duration::from_secs(1), "{:?}", applied_at.elapsed());
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
fn invalid_command_lines_and_files_are_reported() {
    for args in [&[][..], &["dance"], &["serve"], &["version", "--loud"], &["check", "--config"]] {
        let (code, output) = run(args);
        assert!(code == 2 && String::from_utf8_lossy(&output.stderr).contains("usage"), "{args:?}");
    }
    assert_eq!(run(&["serve", "--log-format", "loud"]).0, 2);
    assert_eq!(run(&["help"]).0, 0);
    for command in ["serve", "check", "version", "help"] {
        let (code, output) = run(&[command, "--help"]);
        let help = String::from_utf8_lossy(&output.stdout).into_owned();
        assert!(
            code == 0 && output.stderr.is_empty() && help.contains("usage: hopmoor"),
            "{command}: {help}"
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
fn the_configuration_in_deploy_passes_the_check() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/xmpp.json");
    let (code, output) = run(&["check", "--xmpp", file]);
    assert_eq!(code, 0, "{}", String::from_utf8_lossy(&output.stderr));
}

/// Guards against a node that gives up a call while it is queued at discovery, which all nodes ask at once.
/// Discovery then answered the abandoned call in vain and the node asked again, so the queue never became
/// empty.
#[test]
fn a_call_that_is_queued_at_discovery_is_not_given_up() {
    let discovery = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let node = start_with(&discovery.local_addr().unwrap().to_string());
    let (mut connection, _) = discovery.accept().unwrap();
    let mut buffer = [0u8; 512];
    assert!(connection.read(&mut buffer).unwrap() > 0);
    thread::sleep(Duration::from_millis(1_900));
    connection.set_nonblocking(true).unwrap();
    let waiting =
        connection.read(&mut buffer).is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock);
    assert!(waiting, "the node gave up its call to discovery within 1.9 s");
    connection.set_nonblocking(false).unwrap();
    let body = r#"{"seq":5,"whole":true,"hosts":[{"host":"s-9","dial":"127.0.0.1:1","site":"a","block":0,"health":"Ready","share":1.0,"born_ms":0}]}"#;
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    connection.write_all(answer.as_bytes()).unwrap();
    assert!(node.wait_for_log("pool member").contains("s-9"));
}
