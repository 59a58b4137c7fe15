//! Reads the bodies of requests.

use crate::byte_budget::ByteReservation;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use sloetrail_clock::BootInstant;
use sloetrail_result::{Problem, ResultCode};

const BODY_BUDGET_RETRY_MS: u64 = 250;

/// Reads a body of at most `limit` bytes, within the node's budget for bodies.
pub(super) async fn read_body(
    mut body: Incoming,
    limit: usize,
    reservation: &mut ByteReservation,
    deadline: BootInstant,
) -> Result<Bytes, Problem> {
    let mut bytes = BytesMut::new();
    loop {
        let frame = match sloetrail_clock::timeout_at(deadline, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(error))) => {
                let detail = format!("request body truncated: {error}");
                return Err(Problem::new(ResultCode::MalformedRequest, detail));
            }
            Ok(None) => return Ok(bytes.freeze()),
            Err(_) => {
                let detail = "the request body did not arrive before the deadline";
                return Err(Problem::new(ResultCode::RequestTooSlow, detail));
            }
        };
        let Ok(chunk) = frame.into_data() else {
            continue;
        };
        if reservation.bytes() + chunk.len() > limit {
            let detail = format!("request body larger than {limit} bytes");
            return Err(Problem::new(ResultCode::BodyTooLarge, detail));
        }
        if !reservation.try_grow(chunk.len()) {
            let detail = "the node's budget for request bodies is used up";
            let problem = Problem::new(ResultCode::QueueFull, detail);
            return Err(problem.with_retry_after_ms(BODY_BUDGET_RETRY_MS));
        }
        bytes.extend_from_slice(&chunk);
    }
}

/// Reads and discards a body, so that a caller that is still sending receives its answer.
pub(super) async fn drain_body(mut body: Incoming, deadline: BootInstant) {
    let reading = async { while let Some(Ok(_)) = body.frame().await {} };
    // After the deadline the caller no longer reads the answer.
    let _ = sloetrail_clock::timeout_at(deadline, reading).await;
}
