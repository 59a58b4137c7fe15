//! A caller's connection with a separate handle that detects its end.
//!
//! hyper stops reading while it buffers bytes beyond the current request, so it does not notice
//! when the caller disconnects. Socket readiness reports the closed read side even while
//! received bytes are still unread.

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

pub(super) struct CallerStream(Arc<TcpStream>);

/// Detects that the caller has closed its sending side.
pub(super) struct CallerDisconnect(Arc<TcpStream>);

impl CallerStream {
    /// Splits an accepted socket into the byte stream and the handle that detects its end.
    pub(super) fn new(stream: TcpStream) -> (Self, CallerDisconnect) {
        let stream = Arc::new(stream);
        (Self(Arc::clone(&stream)), CallerDisconnect(stream))
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
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(context))?;
            match self.0.try_read(buffer.initialize_unfilled()) {
                Ok(length) => {
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
            ready!(self.0.poll_write_ready(context))?;
            match write(&self.0) {
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
        Poll::Ready(SockRef::from(&*self.0).shutdown(Shutdown::Write))
    }
}
