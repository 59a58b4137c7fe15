//! Socket options that close connections to unreachable peers, which send no reset.

use socket2::{SockRef, TcpKeepalive};
use std::time::Duration;
use tokio::net::TcpStream;

/// How long sent data may stay unacknowledged.
const USER_TIMEOUT: Duration = Duration::from_millis(3_000);
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_RETRIES: u32 = 3;

/// Sets the options. Options that the system does not support are skipped.
pub(crate) fn configure(stream: &TcpStream) {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    let socket = SockRef::from(stream);
    let _ = stream.set_nodelay(true);
    let _ = socket.set_tcp_user_timeout(Some(USER_TIMEOUT));
    let _ = socket.set_tcp_keepalive(&keepalive);
}
