//! A server for HTTP/1.1 with bodies of a known length, one thread a connection.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// `Request` is a complete request.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    /// Returns a field of the query; empty if there is none.
    pub fn query(&self, name: &str) -> &str {
        self.query.iter().find(|(key, _)| key == name).map_or("", |(_, value)| value)
    }

    /// Returns a header; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }
}

/// `Answer` is a status and a body, or silence until the end of the connection.
pub enum Answer {
    Reply(u16, String),
    /// A reply of the store, with its era.
    Stored(u16, String, u64),
    Silence,
}

/// Serves connections to a free loopback port. `mbps` is the speed of the link to the caller; 0 sets
/// no limit.
pub fn serve(
    mbps: f64,
    handler: impl Fn(&Request) -> Answer + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = serve_connection(stream, mbps, handler.as_ref());
            });
        }
    });
    address
}

fn serve_connection(
    stream: TcpStream,
    mbps: f64,
    handler: &(impl Fn(&Request) -> Answer + ?Sized),
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        let answer = handler(&request);
        let era = match &answer {
            Answer::Stored(_, _, era) => format!("Store-Era: {era}\r\n"),
            _ => String::new(),
        };
        match answer {
            Answer::Reply(status, body) | Answer::Stored(status, body, _) => {
                let head = format!(
                    "HTTP/1.1 {status} X\r\n{era}Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                let whole = head + &body;
                write_paced(&mut writer, whole.as_bytes(), mbps)?;
            }
            Answer::Silence => {
                // The connection stays open and silent until the caller gives it up.
                let mut rest = [0; 1024];
                while 0 < reader.read(&mut rest)? {}
                return Ok(());
            }
        }
    }
    Ok(())
}

fn write_paced(writer: &mut TcpStream, bytes: &[u8], mbps: f64) -> std::io::Result<()> {
    if mbps <= 0.0 || bytes.len() < 8192 {
        return writer.write_all(bytes);
    }
    for chunk in bytes.chunks(8192) {
        thread::sleep(Duration::from_secs_f64(chunk.len() as f64 * 8.0 / (mbps * 1e6)));
        writer.write_all(chunk)?;
    }
    Ok(())
}

fn read_request(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let path = path.to_owned();
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(key, value)| (key.to_owned(), unescape(value))).collect();
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
    let mut request = Request { method, path, query, headers, body: String::new() };
    let length = request.header("content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    request.body = String::from_utf8_lossy(&body).into_owned();
    Ok(Some(request))
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
