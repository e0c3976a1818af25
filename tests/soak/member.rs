//! A pool member that records which requests reach it, accepts each, answers probes and echoes lines.

use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::Instant;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::runtime::Handle;

/// The requests that reached one member: the id of each, and when it arrived.
pub type Arrivals = Arc<Mutex<Vec<(String, Instant)>>>;

/// A listening member. It runs on the given runtime until that ends.
pub struct Member {
    pub address: String,
    pub arrivals: Arrivals,
}

impl Member {
    /// Listens on loopback; `receipt` is the number that the member answers requests with.
    pub fn start(handle: &Handle, receipt: usize) -> Member {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let arrivals = Arrivals::default();
        let recorded = arrivals.clone();
        handle.spawn(async move {
            let listener = tokio::net::TcpListener::from_std(listener).unwrap();
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, receipt, recorded.clone()));
            }
        });
        Member { address, arrivals }
    }
}

async fn serve(stream: TcpStream, receipt: usize, arrivals: Arrivals) {
    let _ = stream.set_nodelay(true);
    let (reader, mut writer) = stream.into_split();
    let mut lines = BufReader::new(reader).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        let answer = if let Some(request) = line.strip_prefix("OPEN ") {
            let id = request.split(' ').next().unwrap_or_default().to_owned();
            arrivals.lock().unwrap().push((id, Instant::now()));
            format!("UP {receipt}\r\n")
        } else if line == "STATS" {
            "PONG inflight=1,latency_ms=2,x0=0.1\r\n".to_owned()
        } else {
            format!("{line}\r\n")
        };
        if writer.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}
