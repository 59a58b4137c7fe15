//! HTTP/1.1 over blocking sockets: a server with a thread for each connection, and a client.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

pub fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers
        .iter()
        .find(|(known, _)| known.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    /// The decoded value of a query parameter.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let pairs = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='));
        let mut found = pairs.filter(|(known, _)| *known == name);
        found.next().map(|(_, value)| decoded(value))
    }
}

fn decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        match bytes[at] {
            b'+' => out.push(b' '),
            b'%' if at + 2 < bytes.len() => {
                let digits = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("20");
                out.push(u8::from_str_radix(digits, 16).unwrap_or(b' '));
                at += 2;
            }
            byte => out.push(byte),
        }
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::Error::other("the head ends early"));
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a body by its length or in chunks. Without either it is empty, or ends with the
/// connection if `until_closed`.
fn read_body(
    reader: &mut impl BufRead,
    headers: &[(String, String)],
    until_closed: bool,
) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    let coding = header(headers, "transfer-encoding").unwrap_or_default();
    if coding.eq_ignore_ascii_case("chunked") {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::Error::other("the body ends early"));
            }
            let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    if let Some(length) = header(headers, "content-length") {
        body.resize(length.parse().map_err(io::Error::other)?, 0);
        reader.read_exact(&mut body)?;
    } else if until_closed {
        reader.read_to_end(&mut body)?;
    }
    Ok(body)
}

/// The connection on which a request is answered.
pub struct Answering<'a> {
    pub stream: &'a mut TcpStream,
}

impl Answering<'_> {
    pub fn whole(
        &mut self,
        status: u16,
        headers: &[(&str, String)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut head = format!("HTTP/1.1 {status} -\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        let mut answer = head.into_bytes();
        answer.extend_from_slice(body);
        self.stream.write_all(&answer)
    }

    pub fn begin_chunks(&mut self, status: u16, headers: &[(&str, String)]) -> io::Result<()> {
        let mut head = format!("HTTP/1.1 {status} -\r\nTransfer-Encoding: chunked\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        self.stream.write_all(head.as_bytes())
    }

    /// Sends the bytes of `data` in one chunk and one write.
    pub fn chunk(&mut self, data: &[u8]) -> io::Result<()> {
        let mut chunk = format!("{:x}\r\n", data.len()).into_bytes();
        chunk.extend_from_slice(data);
        chunk.extend_from_slice(b"\r\n");
        self.stream.write_all(&chunk)
    }

    pub fn end_chunks(&mut self) -> io::Result<()> {
        self.stream.write_all(b"0\r\n\r\n")
    }
}

pub type Handler = Arc<dyn Fn(&Request, &mut Answering<'_>) -> io::Result<()> + Send + Sync>;

/// Serves at a free port of the loopback address. An error of the handler closes the connection.
pub fn serve(handler: Handler) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || serve_connection(stream, &handler));
        }
    });
    address
}

fn serve_connection(mut stream: TcpStream, handler: &Handler) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    loop {
        let (line, headers) = read_head(&mut reader).ok()??;
        let body = read_body(&mut reader, &headers, false).ok()?;
        let mut words = line.split(' ');
        let method = words.next()?.to_owned();
        let target = words.next()?;
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let (path, query) = (path.to_owned(), query.to_owned());
        let request = Request {
            method,
            path,
            query,
            headers,
            body,
        };
        let mut answering = Answering {
            stream: &mut stream,
        };
        handler(&request, &mut answering).ok()?;
    }
}

pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends one request on a new connection and reads the whole answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1).min(timeout))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut head = format!(
        "{method} {target} HTTP/1.1\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let mut reader = BufReader::new(stream);
    let (line, headers) =
        read_head(&mut reader)?.ok_or_else(|| io::Error::other("closed without an answer"))?;
    let status = line.split(' ').nth(1).and_then(|code| code.parse().ok());
    let status = status.ok_or_else(|| io::Error::other("no status line"))?;
    let body = read_body(&mut reader, &headers, true)?;
    Ok(Answer {
        status,
        headers,
        body,
    })
}
