//! Requests as stand-ins read them from a socket, and the headers of their answers.

use http::HeaderName;
use sloetrail_serving::dialect::HeaderNames;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

const MAX_REQUEST_BYTES: usize = 64 * 1024;

/// The headers of a sound answer to a request.
pub(crate) fn sound_headers(request: &str, names: &HeaderNames) -> String {
    let id = header(request, &names.request_id).unwrap_or_default();
    let (request_id, signature) = (&names.request_id, &names.signature);
    let version = &names.weight_version;
    format!("{request_id}: {id}\r\n{signature}: signed\r\n{version}: 1\r\n")
}

/// Reads the head of a request. None if the connection ends before.
pub(crate) async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.windows(4).any(|end| end == b"\r\n\r\n") {
        let read = stream.read_buf(&mut head).await.ok()?;
        if read == 0 || head.len() > MAX_REQUEST_BYTES {
            return None;
        }
    }
    Some(String::from_utf8_lossy(&head).into_owned())
}

fn header(request: &str, name: &HeaderName) -> Option<String> {
    let mut lines = request.lines().filter_map(|line| line.split_once(':'));
    let (_, value) = lines.find(|(known, _)| known.eq_ignore_ascii_case(name.as_str()))?;
    Some(value.trim().to_owned())
}
