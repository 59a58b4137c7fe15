//! A caller's connection with a separate handle that detects its end.
//!
//! hyper stops reading while it buffers bytes beyond the current request, so it does not notice
//! when the caller disconnects. Socket readiness reports the closed read side even while
//! received bytes are still unread.

use super::caller_connection::CallerConnection;
use socket2::SockRef;
use std::io::{self, ErrorKind, IoSlice};
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

/// How often readiness is polled while unread bytes keep the socket readable. Work for a
/// disconnected caller must end within 500 ms.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

const DISCARD_BUFFER_BYTES: usize = 4 * 1024;

pub(super) struct CallerStream {
    stream: Arc<TcpStream>,
    connection: CallerConnection,
}

/// Detects that the caller has closed its sending side.
pub(super) struct CallerDisconnect(Arc<TcpStream>);

impl CallerStream {
    /// Splits an accepted socket into the byte stream and the handle that detects its end.
    /// `connection` hears of all bytes that are received.
    pub(super) fn new(stream: TcpStream, connection: CallerConnection) -> (Self, CallerDisconnect) {
        let stream = Arc::new(stream);
        let disconnect = CallerDisconnect(Arc::clone(&stream));
        (Self { stream, connection }, disconnect)
    }
}

impl CallerDisconnect {
    /// Waits until the caller has closed the connection or its sending side.
    pub(super) async fn wait(&self) {
        loop {
            match self.0.ready(Interest::READABLE).await {
                Ok(ready) if !ready.is_read_closed() => {}
                // A socket whose readiness cannot be polled counts as closed.
                Ok(_) | Err(_) => return,
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Reads and ignores what the caller still sends, until it closes the connection or the time is
    /// over. Closing a socket with unread bytes resets the connection, and the caller may lose the
    /// answer.
    pub(super) async fn discard_input(&self, time: Duration) {
        let discarding = async {
            let mut buffer = [0; DISCARD_BUFFER_BYTES];
            loop {
                match self.0.try_read(&mut buffer) {
                    Ok(0) => return,
                    Ok(_) => {}
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {
                        if self.0.readable().await.is_err() {
                            return;
                        }
                    }
                    Err(_) => return,
                }
            }
        };
        // A caller that still sends after this time sees the reset.
        let _ = tokio::time::timeout(time, discarding).await;
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(context))?;
            match self.stream.try_read(buffer.initialize_unfilled()) {
                Ok(length) => {
                    let received = &buffer.initialize_unfilled()[..length];
                    self.connection.record_bytes(received);
                    buffer.advance(length);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl CallerStream {
    fn poll_write_with(
        &self,
        context: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(context))?;
            match write(&self.stream) {
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(context, |stream| stream.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        pieces: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(context, |stream| stream.try_write_vectored(pieces))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Writes go straight to the kernel; nothing is buffered here.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.stream).shutdown(Shutdown::Write))
    }
}
