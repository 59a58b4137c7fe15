//! A loopback proxy to which connecting takes until it is opened.
//!
//! Its queue of connections that nobody has accepted is full, so the kernel drops the first
//! packet of each further one. It is sent again after about a second: a connection that was
//! begun before [`CongestedProxy::open`] is made soon after it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Connections that the queue is asked to hold.
const BACKLOG: u32 = 1;
/// A connection that is not made within this time found the queue full.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// The proxy.
pub struct CongestedProxy {
    /// Where it listens.
    pub address: SocketAddr,
    target: SocketAddr,
    closed: Mutex<Option<Congested>>,
}

struct Congested {
    listener: TcpListener,
    /// What fills the queue.
    fillers: Vec<TcpStream>,
}

impl CongestedProxy {
    /// Starts a proxy in front of a target that lets nobody connect.
    pub async fn start(target: SocketAddr) -> Arc<Self> {
        let socket = TcpSocket::new_v4().expect("a socket");
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        socket.bind(any_port).expect("a free port");
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

    /// Lets everybody connect from now on, those too whose connecting is under way.
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
    // Without it small messages would wait for more.
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    // A side that goes away ends the other.
    let _ = copy_bidirectional(&mut near, &mut far).await;
}
