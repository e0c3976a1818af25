//! A member that notes what arrives, serves it, answers probes, and echoes lines.

use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::Instant;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::runtime::Handle;

/// What reached one member: the request's id and when.
pub type Arrivals = Arc<Mutex<Vec<(String, Instant)>>>;

pub struct Member {
    pub address: String,
    pub arrivals: Arrivals,
}

impl Member {
    pub fn start(handle: &Handle, receipt: usize) -> Member {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let arrivals = Arrivals::default();
        let noted = arrivals.clone();
        handle.spawn(async move {
            let listener = tokio::net::TcpListener::from_std(listener).unwrap();
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, receipt, noted.clone()));
            }
        });
        Member { address, arrivals }
    }
}

async fn serve(stream: TcpStream, receipt: usize, noted: Arrivals) {
    let _ = stream.set_nodelay(true);
    let (from, mut to) = stream.into_split();
    let mut lines = BufReader::new(from).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        let answer = if let Some(open) = line.strip_prefix("OPEN ") {
            let id = open.split(' ').next().unwrap_or_default().to_owned();
            noted.lock().unwrap().push((id, Instant::now()));
            format!("UP {receipt}\r\n")
        } else if line == "STATS" {
            "PONG inflight=1,latency_ms=2,x0=0.1\r\n".to_owned()
        } else {
            format!("{line}\r\n")
        };
        if to.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}
