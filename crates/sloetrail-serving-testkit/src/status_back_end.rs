//! A stand-in at the address of a back end that answers each request with the same status.

use crate::raw_request::{read_head, sound_headers};
use sloetrail_serving::dialect::HeaderNames;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

pub struct StatusBackEnd {
    pub address: SocketAddr,
    /// The three digits.
    status: u16,
    names: HeaderNames,
    requests: AtomicUsize,
}

impl StatusBackEnd {
    pub async fn start(status: u16, names: HeaderNames) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let stand_in = Arc::new(Self {
            address: listener.local_addr().expect("bound"),
            status,
            names,
            requests: AtomicUsize::new(0),
        });
        let serving = Arc::clone(&stand_in);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(Arc::clone(&serving).answer(stream));
            }
        });
        stand_in
    }

    /// The number of requests that have arrived.
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }

    /// Answers requests over a connection until it is closed. After a status that is an interim one,
    /// no other follows.
    async fn answer(self: Arc<Self>, mut stream: TcpStream) {
        while let Some(request) = read_head(&mut stream).await {
            self.requests.fetch_add(1, Ordering::SeqCst);
            let headers = sound_headers(&request, &self.names);
            let status = self.status;
            let head = format!("HTTP/1.1 {status} Odd\r\n{headers}content-length: 2\r\n\r\n");
            let sent = match status {
                100..200 => stream.write_all(head.as_bytes()).await,
                _ => stream.write_all(format!("{head}ok").as_bytes()).await,
            };
            if sent.is_err() || status < 200 {
                return;
            }
        }
    }
}
