//! A caller of the HTTP API.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use oleander_core::time::Span;
use oleander_core::verdict::RefusalCode;
use oleander_core::verdict::Verdict;
use reqwest::StatusCode;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use crate::history::record::Outcome;

/// The time beyond a call's deadline after which the client gives its connection up.
const PATIENCE: Span = Span::from_secs(3);

/// The statement that reads the values of a key.
pub const READ_SQL: &str = "SELECT value FROM entries WHERE key = $1";

/// The statement that appends a value to a key.
pub const WRITE_SQL: &str = "INSERT INTO entries (key, value) VALUES ($1, $2)";

/// `Client` sends calls and keeps the session tokens; its clones share both.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
    sessions: Arc<Mutex<HashMap<u64, Vec<String>>>>,
}

/// `Address` is where and as whom a call is sent.
#[derive(Clone, Copy, Debug)]
pub struct Address<'a> {
    /// The address of the proxy.
    pub proxy: SocketAddr,
    /// The key of the workspace.
    pub key: &'a str,
    /// The session whose tokens are sent and kept; `None` sends none.
    pub session: Option<u64>,
}

/// `Answer` is the body of a call that ran.
#[derive(Clone, Debug, Deserialize)]
pub struct Answer {
    /// The rows.
    pub rows: Vec<Vec<Value>>,
    /// The session token.
    pub session: String,
    /// `replica` or `primary`.
    pub served_by: String,
    /// The open transaction.
    pub transaction: Option<String>,
}

#[derive(Debug, Deserialize)]
struct Refused {
    code: RefusalCode,
    verdict: Verdict,
    retry_after_ms: Option<u64>,
}

impl Client {
    /// Makes a client without sessions.
    ///
    /// Fails if the HTTP library cannot be set up.
    pub fn new(deadline: Span) -> Result<Self, reqwest::Error> {
        let http = reqwest::Client::builder().timeout((deadline + PATIENCE).duration()).build()?;
        Ok(Self { http, sessions: Arc::default() })
    }

    /// Sends a body to a path of the API; the error is the outcome of the refused call.
    pub async fn post(
        &self,
        address: Address<'_>,
        path: &str,
        body: &Value,
    ) -> Result<Answer, Outcome> {
        let tokens = address.session.map(|session| self.tokens(session)).unwrap_or_default();
        let mut request = self.http.post(format!("http://{}{path}", address.proxy)).json(body);
        request = request.bearer_auth(address.key);
        for token in &tokens {
            request = request.header("oleander-session", token);
        }
        let response = match request.send().await {
            Ok(response) => response,
            // A refused connection never carried the request.
            Err(error) if error.is_connect() => return Err(not_connected()),
            Err(_) => return Err(Outcome::Lost),
        };
        if response.status() != StatusCode::OK {
            return Err(response
                .json::<Refused>()
                .await
                .map_or(Outcome::Lost, |body| refused(&body)));
        }
        let answer: Answer = response.json().await.map_err(|_| Outcome::Lost)?;
        if let Some(session) = address.session {
            self.keep_token(session, &tokens, &answer.session);
        }
        Ok(answer)
    }

    /// Reads the values of a key.
    pub async fn read(
        &self,
        address: Address<'_>,
        class: &str,
        key: &str,
    ) -> Result<Answer, Outcome> {
        let body = json!({ "class": class, "sql": READ_SQL, "parameters": [key] });
        self.post(address, "/v1/statements", &body).await
    }

    /// Appends a value to a key.
    pub async fn write(
        &self,
        address: Address<'_>,
        class: &str,
        key: &str,
        value: &str,
    ) -> Result<Answer, Outcome> {
        let body = json!({ "class": class, "sql": WRITE_SQL, "parameters": [key, value] });
        self.post(address, "/v1/statements", &body).await
    }

    fn tokens(&self, session: u64) -> Vec<String> {
        self.lock().get(&session).cloned().unwrap_or_default()
    }

    /// Replaces the tokens that were sent by the one that came back, which includes them.
    fn keep_token(&self, session: u64, sent: &[String], token: &str) {
        let mut sessions = self.lock();
        let kept = sessions.entry(session).or_default();
        kept.retain(|known| !sent.contains(known));
        kept.push(token.to_owned());
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<u64, Vec<String>>> {
        self.sessions.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Answer {
    /// Gets the texts in the first column.
    pub fn values(&self) -> Vec<String> {
        self.rows.iter().filter_map(|row| row.first()?.as_str().map(str::to_owned)).collect()
    }

    /// Returns `true` if a replica served the call.
    pub fn by_replica(&self) -> bool {
        self.served_by == "replica"
    }
}

fn refused(body: &Refused) -> Outcome {
    let retry_after = body.retry_after_ms.map(|millis| Span::from_millis(millis).0);
    Outcome::Refused { code: body.code, verdict: body.verdict, retry_after }
}

fn not_connected() -> Outcome {
    Outcome::Refused {
        code: RefusalCode::HomeUnreachable,
        verdict: Verdict::NotRun,
        retry_after: None,
    }
}
