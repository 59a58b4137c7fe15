//! Reads that are repeated while they are pending.
//!
//! A read of a followed table may be lost, and its timeout is no bound on the age of the view: it is
//! derived from earlier latencies, includes the wait for a change, and applies to each part of the
//! answer. So the table is asked again at intervals while a read is pending, over connections that
//! have responded since. The first answer counts. The pending read goes on, since a slow table may
//! answer only that one.

use crate::table::ReadError;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use sloetrail_clock::BootInstant;
use std::pin::pin;
use std::time::Duration;

/// When a pending read is repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RepeatTiming {
    /// How long the read may be pending before its first repetition.
    pub(super) first_after: Duration,
    pub(super) interval: Duration,
}

/// An answer and when its request was sent.
pub(super) struct TimedAnswer<Answer> {
    pub(super) answer: Answer,
    pub(super) requested_at: BootInstant,
}

/// Waits for a read that is sent now or for one of its repetitions; there are none without a
/// timing. Calls `before_repetition` with the time of the read before each repetition. Fails when
/// the read fails.
pub(super) async fn read_timely<Answer, Repetition>(
    read: impl Future<Output = Result<Answer, ReadError>>,
    repeat: impl Fn() -> Repetition,
    timing: Option<RepeatTiming>,
    mut before_repetition: impl FnMut(BootInstant),
) -> Result<TimedAnswer<Answer>, ReadError>
where
    Repetition: Future<Output = Result<Answer, ReadError>>,
{
    let Some(timing) = timing else {
        return timed(read).await;
    };
    let sent_at = BootInstant::now();
    let mut read = pin!(timed(read));
    let mut repetitions = FuturesUnordered::new();
    let mut repeat_at = sent_at + timing.first_after;
    loop {
        tokio::select! {
            answer = &mut read => return answer,
            Some(answer) = repetitions.next() => {
                // The read or a later repetition may still be answered.
                if !matches!(answer, Err(ReadError::Unavailable)) {
                    return answer;
                }
            }
            () = sloetrail_clock::sleep_until(repeat_at) => {
                before_repetition(sent_at);
                repetitions.push(timed(repeat()));
                repeat_at = BootInstant::now() + timing.interval;
            }
        }
    }
}

async fn timed<Answer>(
    read: impl Future<Output = Result<Answer, ReadError>>,
) -> Result<TimedAnswer<Answer>, ReadError> {
    let requested_at = BootInstant::now();
    let answer = read.await?;
    Ok(TimedAnswer {
        answer,
        requested_at,
    })
}
