//! A loopback proxy that accepts no connection until it is opened.
//!
//! Its accept backlog is full, so the kernel drops further SYN packets. They are retransmitted
//! after about a second, so pending connections are established soon after
//! [`CongestedProxy::open`].

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// The backlog passed to `listen`.
const BACKLOG: u32 = 1;
/// The backlog is full once a connection is not established within this time.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

pub struct CongestedProxy {
    pub address: SocketAddr,
    target: SocketAddr,
    closed: Mutex<Option<Congested>>,
}

struct Congested {
    listener: TcpListener,
    /// Connections that fill the backlog.
    fillers: Vec<TcpStream>,
}

impl CongestedProxy {
    /// Starts a proxy in front of `target` with a full backlog.
    pub async fn start(target: SocketAddr) -> Arc<Self> {
        let socket = TcpSocket::new_v4().expect("TCP socket");
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        socket.bind(any_port).expect("free loopback port");
        let listener = socket.listen(BACKLOG).expect("listens");
        let address = listener.local_addr().expect("bound");
        let mut fillers = Vec::new();
        while let Ok(filler) =
            tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await
        {
            fillers.push(filler.expect("loopback connects"));
        }
        Arc::new(Self {
            address,
            target,
            closed: Mutex::new(Some(Congested { listener, fillers })),
        })
    }

    /// Accepts all connections from now on, including pending ones.
    pub fn open(&self) {
        let congested = self.closed.lock().expect("not poisoned").take();
        let Some(Congested { listener, fillers }) = congested else {
            return;
        };
        drop(fillers);
        let target = self.target;
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(relay(near, target));
            }
        });
    }
}

async fn relay(mut near: TcpStream, target: SocketAddr) {
    let Ok(mut far) = TcpStream::connect(target).await else {
        return;
    };
    // Nagle's algorithm would delay small messages.
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    // When one side fails, both connections are dropped.
    let _ = copy_bidirectional(&mut near, &mut far).await;
}
