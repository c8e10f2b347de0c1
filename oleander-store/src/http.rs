//! The HTTP client, which replaces its connection pool after a connection failure or a timeout.

use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use oleander_core::time::Span;
use reqwest::Client;
use reqwest::RequestBuilder;
use reqwest::Response;
use serde::de::DeserializeOwned;

use crate::errors::Error;
use crate::errors::Result;
use crate::errors::from_http;

/// How long an idle connection is kept in the pool.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// `HttpClient` sends requests to one of several equivalent endpoints, and moves to the next one
/// after a failure.
#[derive(Debug)]
pub(crate) struct HttpClient {
    endpoints: Vec<String>,
    /// The index of the endpoint in use.
    current: AtomicUsize,
    client: RwLock<Client>,
    /// The timeout of opening a connection.
    connect: Span,
}

impl HttpClient {
    pub(crate) fn new(endpoints: Vec<String>, connect: Span) -> Self {
        let client = RwLock::new(build_client(connect));
        Self { endpoints, current: AtomicUsize::new(0), client, connect }
    }

    /// Prepares a request to the current endpoint.
    pub(crate) fn request(
        &self,
        build: impl Fn(&Client, String) -> RequestBuilder,
        path: &str,
    ) -> RequestBuilder {
        let index = self.current.load(Ordering::Relaxed);
        let endpoint =
            self.endpoints.get(index).map_or("", |endpoint| endpoint.trim_end_matches('/'));
        let client = self.client.read().unwrap_or_else(PoisonError::into_inner);
        build(&client, format!("{endpoint}{path}"))
    }

    /// Sends a request and waits for the headers of the response. There is no timeout beyond the
    /// request's own.
    pub(crate) async fn send(&self, request: RequestBuilder) -> Result<Response> {
        let result = request.send().await.map_err(|error| from_http(&error));
        self.reset_on_failure(result).and_then(check_status)
    }

    /// Sends a request, reads the whole response and decodes its JSON body.
    pub(crate) async fn fetch<T: DeserializeOwned>(&self, request: RequestBuilder) -> Result<T> {
        let response = self.send(request).await?;
        let result = response.json().await.map_err(|error| from_http(&error));
        self.reset_on_failure(result)
    }

    /// Drops the connection pool and moves to the next endpoint.
    ///
    /// A connection that has stopped responding does not recover, and other connections of the pool
    /// may have been lost along with it. The next call therefore opens a new one.
    pub(crate) fn abandon_connections(&self) {
        let next = self.current.load(Ordering::Relaxed) + 1;
        self.current.store(next % self.endpoints.len().max(1), Ordering::Relaxed);
        *self.client.write().unwrap_or_else(PoisonError::into_inner) = build_client(self.connect);
    }

    /// Abandons the connections if the call failed to connect, timed out or lost its connection.
    fn reset_on_failure<T>(&self, result: Result<T>) -> Result<T> {
        if let Err(Error::Connect(_) | Error::Timeout(_) | Error::Lost(_)) = &result {
            self.abandon_connections();
        }
        result
    }
}

fn build_client(connect: Span) -> Client {
    let builder =
        Client::builder().connect_timeout(connect.duration()).pool_idle_timeout(IDLE_TIMEOUT);
    // Building fails only for invalid TLS or proxy options, and none are set.
    builder.no_proxy().build().unwrap_or_default()
}

fn check_status(response: Response) -> Result<Response> {
    let status = response.status();
    if status.is_success() {
        Ok(response)
    } else if status.is_client_error() {
        Err(Error::Refused(status.as_u16()))
    } else {
        Err(Error::Failed(status.as_u16()))
    }
}
