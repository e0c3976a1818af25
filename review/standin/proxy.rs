//! The network between a node and discovery: passes bytes on, and can cut an answer off in its middle and
//! refuse connections from then on, as when discovery dies.

use crate::parts::{Record, lock, ms};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::{Arc, Mutex};
use std::thread;

extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Makes the close of this connection a reset (SO_LINGER with no time).
pub fn reset_on_close(stream: &TcpStream) {
    let linger = [1i32, 0];
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, linger.as_ptr(), 8) };
}

#[derive(Default)]
struct State {
    /// The text whose answer is to be cut off.
    cut: Option<&'static str>,
    /// When the answer that was cut off had been written by discovery, in full.
    cut_at: Option<u64>,
    down: bool,
    open: Vec<TcpStream>,
}

pub struct Proxy {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    record: Record,
    name: String,
}

impl Proxy {
    pub fn start(name: &str, to: SocketAddr, record: &Record) -> io::Result<Proxy> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state: Arc<Mutex<State>> = Arc::default();
        let proxy = Proxy { address, state: state.clone(), record: record.clone(), name: name.to_owned() };
        let (record, name) = (record.clone(), name.to_owned());
        thread::spawn(move || {
            let mut listener = Some(listener);
            loop {
                thread::sleep(ms(2));
                if lock(&state).down {
                    // Connections are refused while nobody listens.
                    listener = None;
                    continue;
                }
                if listener.is_none() {
                    listener = TcpListener::bind(address).ok();
                }
                let Some(open) = &listener else { continue };
                let _ = open.set_nonblocking(true);
                while let Ok((client, _)) = open.accept() {
                    let _ = client.set_nonblocking(false);
                    let Ok(server) = TcpStream::connect(to) else { continue };
                    pass(client, server, &state, &record, &name);
                }
            }
        });
        Ok(proxy)
    }

    /// The next answer that contains `text` is cut off in its middle by a reset; from then on connections are
    /// refused.
    pub fn cut_answer_with(&self, text: &'static str) {
        lock(&self.state).cut = Some(text);
    }

    pub fn cut_at(&self) -> Option<u64> {
        lock(&self.state).cut_at
    }

    /// Resets all connections and refuses new ones, until `up`.
    pub fn down(&self) {
        let mut state = lock(&self.state);
        state.down = true;
        reset_all(&mut state);
        self.record
            .line(&format!("{}: discovery is down: connections are reset, new ones refused", self.name));
    }

    pub fn up(&self) {
        let mut state = lock(&self.state);
        (state.down, state.cut) = (false, None);
        self.record.line(&format!("{}: discovery can be reached again", self.name));
    }
}

fn reset_all(state: &mut State) {
    for stream in state.open.drain(..) {
        reset_on_close(&stream);
        let _ = stream.shutdown(Shutdown::Both);
    }
}

fn pass(client: TcpStream, server: TcpStream, state: &Arc<Mutex<State>>, record: &Record, name: &str) {
    let (Ok(mut from_client), Ok(mut to_server)) = (client.try_clone(), server.try_clone()) else { return };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    if let Ok(known) = client.try_clone() {
        lock(state).open.push(known);
    }
    thread::spawn(move || {
        let _ = io::copy(&mut from_client, &mut to_server);
        let _ = to_server.shutdown(Shutdown::Both);
    });
    let (mut from_server, mut to_client) = (server, client);
    let (state, record, name) = (state.clone(), record.clone(), name.to_owned());
    thread::spawn(move || {
        let mut buffer = vec![0u8; 64 * 1024];
        while let Ok(read @ 1..) = from_server.read(&mut buffer) {
            // An answer of the stand-in arrives here whole, as it is written with one call.
            let text = String::from_utf8_lossy(&buffer[..read]).into_owned();
            let cut = lock(&state).cut.is_some_and(|wanted| text.contains(wanted));
            if cut {
                let at = record.now();
                record.line(&format!(
                    "{name}: discovery has written {read} bytes: {}",
                    text.replace(['\r', '\n'], " ")
                ));
                let half = text.find("\r\n\r\n").map_or(read, |end| end + 4 + (read - end - 4) / 2);
                let _ = to_client.write_all(&buffer[..half]);
                thread::sleep(ms(20));
                reset_on_close(&to_client);
                let mut state = lock(&state);
                state.cut_at = Some(at);
                state.down = true;
                reset_all(&mut state);
                record.line(&format!("{name}: discovery dies: {half} bytes arrived, the connection is reset, new ones are refused"));
                return;
            }
            if to_client.write_all(&buffer[..read]).is_err() {
                return;
            }
        }
        let _ = to_client.shutdown(Shutdown::Both);
    });
}
