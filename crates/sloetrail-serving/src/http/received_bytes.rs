//! Limits on what a peer sends without getting on with its answer.
//!
//! A peer may send interim heads, header lines, chunk sizes or trailers without end. The HTTP client
//! bounds some of them and reads the others for as long as it is asked to. The limits close the
//! connection.

use parking_lot::Mutex;
use sloetrail_clock::BootInstant;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// More than the HTTP client reads ahead of the data that was taken from it.
const MAX_BYTES_WITHOUT_PROGRESS: usize = 1024 * 1024;
/// Time from the first byte of a head until the head is complete. A back end that has not begun to
/// answer may still be busy; one that has sends its head at once.
const MAX_HEAD_TIME: Duration = Duration::from_millis(1_500);
/// Bytes after a longer pause begin a head of their own: they follow an interim head.
const MAX_PAUSE_WITHIN_HEAD: Duration = Duration::from_millis(1_000);

/// What has been received of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    Nothing,
    /// A part of the head.
    Head {
        began: BootInstant,
        last_read: BootInstant,
    },
    /// The whole head.
    Body,
}

#[derive(Debug)]
struct State {
    part: Part,
    /// Bytes received since the answer last got on.
    bytes: usize,
}

/// What a connection has received since its answer last got on.
#[derive(Clone, Debug)]
pub(super) struct ReceivedBytes(Arc<Mutex<State>>);

impl ReceivedBytes {
    pub(super) fn new() -> Self {
        let state = State {
            part: Part::Nothing,
            bytes: 0,
        };
        Self(Arc::new(Mutex::new(state)))
    }

    /// Records that a request is sent.
    pub(super) fn record_request(&self) {
        self.set(Part::Nothing);
    }

    /// Records that the head of the answer is whole, or that data of its body arrived.
    pub(super) fn record_progress(&self) {
        self.set(Part::Body);
    }

    fn set(&self, part: Part) {
        *self.0.lock() = State { part, bytes: 0 };
    }

    /// Records received bytes. Returns false if the answer does not get on.
    fn add(&self, bytes: usize, now: BootInstant) -> bool {
        let mut state = self.0.lock();
        state.bytes += bytes;
        let began = match state.part {
            Part::Nothing => now,
            Part::Head { began, last_read } => {
                let pause = now.saturating_duration_since(last_read);
                if pause > MAX_PAUSE_WITHIN_HEAD {
                    now
                } else {
                    began
                }
            }
            Part::Body => return state.bytes <= MAX_BYTES_WITHOUT_PROGRESS,
        };
        state.part = Part::Head {
            began,
            last_read: now,
        };
        let is_late = now.saturating_duration_since(began) > MAX_HEAD_TIME;
        !is_late && state.bytes <= MAX_BYTES_WITHOUT_PROGRESS
    }
}

/// A stream whose reads fail once bytes arrive and the answer does not get on.
pub(super) struct LimitedReads<Stream> {
    stream: Stream,
    received: ReceivedBytes,
}

impl<Stream> LimitedReads<Stream> {
    pub(super) fn new(stream: Stream, received: ReceivedBytes) -> Self {
        Self { stream, received }
    }
}

impl<Stream: AsyncRead + Unpin> AsyncRead for LimitedReads<Stream> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let bytes = buffer.filled().len() - filled;
        let gets_on = bytes == 0 || self.received.add(bytes, BootInstant::now());
        Poll::Ready(match gets_on {
            true => Ok(()),
            false => Err(io::Error::other("bytes without an answer")),
        })
    }
}

impl<Stream: AsyncWrite + Unpin> AsyncWrite for LimitedReads<Stream> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

#[cfg(test)]
mod tests;
