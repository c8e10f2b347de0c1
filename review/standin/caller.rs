//! A requester's session over the line protocol.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use crate::record::Record;

/// The time within which a requester must have an answer.
const TIME_LIMIT: Duration = Duration::from_millis(4_000);

pub struct Caller {
    writer: TcpStream,
    reader: BufReader<TcpStream>,
    record: Arc<Record>,
}

/// The answer to a statement.
#[derive(Clone, Debug)]
pub struct Answer {
    pub rows: Vec<String>,
    /// The signature, or the error.
    pub outcome: Result<String, String>,
    pub sent: f64,
    pub answered: f64,
}

impl Caller {
    /// Opens a session; the error is the greeting or that of the connection.
    pub fn open(
        address: SocketAddr,
        database: &str,
        key: &str,
        record: &Arc<Record>,
    ) -> Result<Self, String> {
        let io = |error: std::io::Error| error.to_string();
        let writer =
            TcpStream::connect_timeout(&address, Duration::from_millis(500)).map_err(io)?;
        writer.set_nodelay(true).map_err(io)?;
        writer.set_read_timeout(Some(TIME_LIMIT)).map_err(io)?;
        let reader = BufReader::new(writer.try_clone().map_err(io)?);
        let mut caller = Self { writer, reader, record: record.clone() };
        let startup = format!("STARTUP {database} {key}\r\n");
        caller.writer.write_all(startup.as_bytes()).map_err(io)?;
        let greeting = caller.line()?;
        if greeting.starts_with("READY") {
            Ok(caller)
        } else {
            Err(greeting)
        }
    }

    fn line(&mut self) -> Result<String, String> {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(0) => Err("closed".to_owned()),
            Ok(_) => Ok(line.trim_end().to_owned()),
            Err(error) => Err(error.to_string()),
        }
    }

    /// Runs a statement; the error means that the session is broken.
    pub fn run(&mut self, id: &str, text: &str) -> Result<Answer, String> {
        let sent = self.record.now();
        self.record.line(&format!("requester: sends {id} {text}"));
        let answer = self.exchange(id, text, sent);
        let shown = match &answer {
            Ok(Answer { outcome: Ok(signature), rows, .. }) => {
                format!("success {signature} {}", rows.join(" "))
            }
            Ok(Answer { outcome: Err(error), .. }) => error.clone(),
            Err(error) => format!("no answer: {error}"),
        };
        self.record.line(&format!("requester: answer to {id}: {shown}"));
        answer
    }

    fn exchange(&mut self, id: &str, text: &str, sent: f64) -> Result<Answer, String> {
        let query = format!("QUERY {id} {text}\r\n");
        self.writer.write_all(query.as_bytes()).map_err(|error| error.to_string())?;
        let mut rows = Vec::new();
        let mut outcome = Err("no end".to_owned());
        loop {
            let line = self.line()?;
            let (word, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match word {
                "DATAROW" => rows.push(rest.to_owned()),
                "COMPLETE" => outcome = Ok(rest.to_owned()),
                "ERROR" => outcome = Err(rest.to_owned()),
                "READY" => {
                    let answered = self.record.now();
                    return Ok(Answer { rows, outcome, sent, answered });
                }
                _ => return Err(format!("unexpected line: {line}")),
            }
        }
    }
}
