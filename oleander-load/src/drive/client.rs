//! A client of the proxy's HTTP API.

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

/// The time that the client waits beyond a call's deadline before it abandons the call.
const TIMEOUT_MARGIN: Span = Span::from_secs(3);

/// The statement that reads the values of a key.
pub const READ_SQL: &str = "SELECT value FROM entries WHERE key = $1";

/// The statement that appends a value to a key.
pub const WRITE_SQL: &str = "INSERT INTO entries (key, value) VALUES ($1, $2)";

/// `Client` sends calls and keeps the session tokens. Clones share the connections and tokens.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
    /// The tokens of each session that its next call sends.
    sessions: Arc<Mutex<HashMap<u64, Vec<String>>>>,
}

/// `CallContext` names the proxy, the API key and the session of a call.
#[derive(Clone, Copy, Debug)]
pub struct CallContext<'a> {
    /// The socket address of the proxy.
    pub proxy: SocketAddr,
    /// The API key of the workspace.
    pub api_key: &'a str,
    /// The session whose tokens are sent and updated; `None` sends no token and keeps none.
    pub session: Option<u64>,
}

/// `Answer` is the response body of a call that succeeded.
#[derive(Clone, Debug, Deserialize)]
pub struct Answer {
    /// The rows of the result; empty for a write.
    pub rows: Vec<Vec<Value>>,
    /// The session token that includes the call's effects.
    pub session: String,
    /// The role of the instance that served the call: `replica` or `primary`.
    pub served_by: String,
    /// The identifier of the opened transaction; `None` for calls that open none.
    pub transaction: Option<String>,
}

#[derive(Debug, Deserialize)]
struct Refused {
    code: RefusalCode,
    verdict: Verdict,
    retry_after_ms: Option<u64>,
}

impl Client {
    /// Creates a client without sessions; `deadline` is the longest deadline of its calls.
    ///
    /// Returns an error if the HTTP client cannot be built.
    pub fn new(deadline: Span) -> Result<Self, reqwest::Error> {
        let http =
            reqwest::Client::builder().timeout((deadline + TIMEOUT_MARGIN).duration()).build()?;
        Ok(Self { http, sessions: Arc::default() })
    }

    /// Posts a body to a path of the API. The error is the outcome of a call that did not succeed.
    pub async fn post(
        &self,
        context: CallContext<'_>,
        path: &str,
        body: &Value,
    ) -> Result<Answer, Outcome> {
        let tokens = context.session.map(|session| self.tokens(session)).unwrap_or_default();
        let mut request = self.http.post(format!("http://{}{path}", context.proxy)).json(body);
        request = request.bearer_auth(context.api_key);
        for token in &tokens {
            request = request.header("oleander-session", token);
        }
        let response = match request.send().await {
            Ok(response) => response,
            // Without a connection the request was not sent, so it has not run.
            Err(error) if error.is_connect() => return Err(unconnected_outcome()),
            Err(_) => return Err(Outcome::Lost),
        };
        if response.status() != StatusCode::OK {
            return Err(response
                .json::<Refused>()
                .await
                .map_or(Outcome::Lost, |body| refused_outcome(&body)));
        }
        let answer: Answer = response.json().await.map_err(|_| Outcome::Lost)?;
        if let Some(session) = context.session {
            self.keep_token(session, &tokens, &answer.session);
        }
        Ok(answer)
    }

    /// Reads the list of values of a key.
    pub async fn read(
        &self,
        context: CallContext<'_>,
        class: &str,
        key: &str,
    ) -> Result<Answer, Outcome> {
        let body = json!({ "class": class, "sql": READ_SQL, "parameters": [key] });
        self.post(context, "/v1/statements", &body).await
    }

    /// Appends a value to a key.
    pub async fn write(
        &self,
        context: CallContext<'_>,
        class: &str,
        key: &str,
        value: &str,
    ) -> Result<Answer, Outcome> {
        let body = json!({ "class": class, "sql": WRITE_SQL, "parameters": [key, value] });
        self.post(context, "/v1/statements", &body).await
    }

    fn tokens(&self, session: u64) -> Vec<String> {
        self.lock().get(&session).cloned().unwrap_or_default()
    }

    /// Replaces the tokens that were sent by the returned one, which includes them. Tokens that
    /// other calls of the session returned meanwhile stay.
    fn keep_token(&self, session: u64, sent: &[String], token: &str) {
        let mut sessions = self.lock();
        let tokens = sessions.entry(session).or_default();
        tokens.retain(|token| !sent.contains(token));
        tokens.push(token.to_owned());
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<u64, Vec<String>>> {
        self.sessions.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Answer {
    /// Returns the strings in the first column.
    pub fn values(&self) -> Vec<String> {
        self.rows.iter().filter_map(|row| row.first()?.as_str().map(str::to_owned)).collect()
    }

    /// Returns `true` if a replica served the call.
    pub fn served_by_replica(&self) -> bool {
        self.served_by == "replica"
    }
}

fn refused_outcome(body: &Refused) -> Outcome {
    let retry_after = body.retry_after_ms.map(|millis| Span::from_millis(millis).0);
    Outcome::Refused { code: body.code, verdict: body.verdict, retry_after }
}

fn unconnected_outcome() -> Outcome {
    Outcome::Refused {
        code: RefusalCode::HomeUnreachable,
        verdict: Verdict::NotRun,
        retry_after: None,
    }
}
