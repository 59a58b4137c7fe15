//! Follows the boundaries of requests in the bytes that a caller sends over a connection.
//!
//! The HTTP server reads ahead, and does not tell whether it holds bytes of a further request
//! behind the one that is being answered. A connection may only be closed without an answer if
//! there are none.

const LINE_FEED: u8 = b'\n';
const CARRIAGE_RETURN: u8 = b'\r';
/// Longer than the lines that say how long a body is.
const MAX_KEPT_LINE_BYTES: usize = 64;
const CONTENT_LENGTH: &[u8] = b"content-length:";
const TRANSFER_ENCODING: &[u8] = b"transfer-encoding:";
const CHUNKED: &[u8] = b"chunked";

/// What the next byte of the connection belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    /// Empty lines before a request, or its head.
    Head {
        has_begun: bool,
        body: BodyLength,
    },
    Body {
        remaining: u64,
    },
    ChunkSize,
    /// The data of a chunk, with the line break after it.
    ChunkData {
        remaining: u64,
    },
    Trailers,
    /// The bytes are no HTTP. The server closes the connection.
    Unknown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyLength {
    Known(u64),
    Chunked,
}

impl Part {
    const BETWEEN_REQUESTS: Self = Part::Head {
        has_begun: false,
        body: BodyLength::Known(0),
    };
}

/// Counts the requests that have begun to arrive over a connection.
#[derive(Debug)]
pub(super) struct RequestScanner {
    part: Part,
    /// The first bytes of the current line.
    line: Vec<u8>,
    is_line_empty: bool,
    begun: u64,
}

impl RequestScanner {
    pub(super) fn new() -> Self {
        Self {
            part: Part::BETWEEN_REQUESTS,
            line: Vec::new(),
            is_line_empty: true,
            begun: 0,
        }
    }

    /// Number of requests of which at least one byte has arrived.
    pub(super) fn begun(&self) -> u64 {
        self.begun
    }

    /// Takes the next bytes of the connection.
    pub(super) fn push(&mut self, mut bytes: &[u8]) {
        while let Some((&first, rest)) = bytes.split_first() {
            match &mut self.part {
                Part::Body { remaining } | Part::ChunkData { remaining } => {
                    let skipped = bytes
                        .len()
                        .min(usize::try_from(*remaining).unwrap_or(usize::MAX));
                    *remaining -= skipped as u64;
                    bytes = &bytes[skipped..];
                    self.end_data();
                }
                Part::Unknown => return,
                Part::Head { .. } | Part::ChunkSize | Part::Trailers => {
                    self.push_to_line(first);
                    bytes = rest;
                }
            }
        }
    }

    fn push_to_line(&mut self, byte: u8) {
        match byte {
            LINE_FEED => self.end_line(),
            CARRIAGE_RETURN => {}
            _ => {
                self.begin_request();
                self.is_line_empty = false;
                if self.line.len() < MAX_KEPT_LINE_BYTES {
                    self.line.push(byte.to_ascii_lowercase());
                }
            }
        }
    }

    fn begin_request(&mut self) {
        if let Part::Head { has_begun, .. } = &mut self.part
            && !*has_begun
        {
            *has_begun = true;
            self.begun += 1;
        }
    }

    fn end_line(&mut self) {
        let is_empty = std::mem::replace(&mut self.is_line_empty, true);
        self.part = match self.part {
            Part::Head {
                has_begun: false, ..
            } => Part::BETWEEN_REQUESTS,
            Part::Head { body, .. } if is_empty => Part::after_head(body),
            Part::Head { body, .. } => Part::Head {
                has_begun: true,
                body: body.after_line(&self.line),
            },
            Part::ChunkSize => Part::after_chunk_size(&self.line),
            Part::Trailers if is_empty => Part::BETWEEN_REQUESTS,
            other => other,
        };
        self.line.clear();
    }

    /// Goes on to the next part if the data of a body or a chunk is complete.
    fn end_data(&mut self) {
        self.part = match self.part {
            Part::Body { remaining: 0 } => Part::BETWEEN_REQUESTS,
            Part::ChunkData { remaining: 0 } => Part::ChunkSize,
            other => other,
        };
    }
}

impl Part {
    fn after_head(body: BodyLength) -> Self {
        match body {
            BodyLength::Known(0) => Part::BETWEEN_REQUESTS,
            BodyLength::Known(remaining) => Part::Body { remaining },
            BodyLength::Chunked => Part::ChunkSize,
        }
    }

    fn after_chunk_size(line: &[u8]) -> Self {
        const LINE_BREAK_BYTES: u64 = 2;
        let line = std::str::from_utf8(line).unwrap_or_default();
        let digits = line.split(';').next().unwrap_or_default().trim();
        match u64::from_str_radix(digits, 16) {
            Ok(0) => Part::Trailers,
            Ok(size) => Part::ChunkData {
                remaining: size.saturating_add(LINE_BREAK_BYTES),
            },
            Err(_) => Part::Unknown,
        }
    }
}

impl BodyLength {
    /// Returns the length after a line of the head, in lower case. Chunks go before a length.
    fn after_line(self, line: &[u8]) -> Self {
        if let Some(encoding) = line.strip_prefix(TRANSFER_ENCODING) {
            let is_chunked = encoding.windows(CHUNKED.len()).any(|part| part == CHUNKED);
            return if is_chunked {
                BodyLength::Chunked
            } else {
                self
            };
        }
        let length = line.strip_prefix(CONTENT_LENGTH);
        let length =
            length.and_then(|length| std::str::from_utf8(length).ok()?.trim().parse().ok());
        match (self, length) {
            (BodyLength::Known(_), Some(length)) => BodyLength::Known(length),
            _ => self,
        }
    }
}

#[cfg(test)]
mod tests;
