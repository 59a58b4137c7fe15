//! Datagrams as CBOR.

use crate::Envelope;
use snafu::Snafu;

/// Why a datagram could not be read.
#[derive(Debug, Snafu)]
#[snafu(display("the datagram cannot be read: {reason}"))]
pub struct CodecError {
    reason: String,
}

/// The bytes of a datagram.
pub fn encode(envelope: &Envelope) -> Result<Vec<u8>, CodecError> {
    let mut bytes = Vec::with_capacity(256);
    ciborium::into_writer(envelope, &mut bytes).map_err(|error| CodecError {
        reason: error.to_string(),
    })?;
    Ok(bytes)
}

/// Reads a datagram.
pub fn decode(bytes: &[u8]) -> Result<Envelope, CodecError> {
    ciborium::from_reader(bytes).map_err(|error| CodecError {
        reason: error.to_string(),
    })
}
