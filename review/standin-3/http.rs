//! A small HTTP/1.1 server: one thread a connection, bodies by their length.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;

/// `Call` is one request.
pub struct Call {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Call {
    /// Returns a parameter of the query; empty if it is absent.
    pub fn parameter(&self, name: &str) -> &str {
        self.query.iter().find(|(known, _)| known == name).map_or("", |(_, value)| value)
    }

    /// Returns a header by its name in lower case; empty if it is absent.
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(known, _)| known == name).map_or("", |(_, value)| value)
    }
}

/// Serves calls on any free port of the loopback interface. `answer` returns the status and the body.
pub fn serve(answer: impl Fn(&Call) -> (u16, String) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || serve_connection(stream, &*answer));
        }
    });
    address
}

fn serve_connection(stream: TcpStream, answer: &impl Fn(&Call) -> (u16, String)) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    while let Some(call) = read_call(&mut reader) {
        let (status, body) = answer(&call);
        let head = format!(
            "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        writer.write_all(head.as_bytes()).ok()?;
        writer.write_all(body.as_bytes()).ok()?;
    }
    Some(())
}

fn read_call(reader: &mut BufReader<TcpStream>) -> Option<Call> {
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs.map(|(name, value)| (name.to_owned(), decode(value))).collect();
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let mut call = Call { method, path: path.to_owned(), query, headers, body: String::new() };
    let mut body = vec![0; call.header("content-length").parse().unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    call.body = String::from_utf8(body).ok()?;
    Some(call)
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let escaped = text.get(index + 1..index + 3).filter(|_| bytes[index] == b'%');
        match escaped.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                index += 3;
            }
            None => {
                out.push(bytes[index]);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
