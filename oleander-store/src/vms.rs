//! The client of the platform's VM list.

use oleander_core::time::Span;
use serde::Deserialize;
use serde::Serialize;

use crate::errors::Result;
use crate::http::HttpClient;

/// `VmState` is the state of a VM as reported by the platform.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The platform is about to stop the VM.
    Leaving,
}

/// `VmRecord` is one entry of the VM list. The list may be out of date.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct VmRecord {
    /// The name of the VM.
    pub name: String,
    /// The state reported by the platform.
    pub state: VmState,
}

/// `VmList` is a client of the VM list.
#[derive(Debug)]
pub struct VmList {
    http: HttpClient,
    deadline: Span,
}

impl VmList {
    /// Creates a client of the list at the base URL `url`; `deadline` is the timeout of each call.
    pub fn new(url: impl Into<String>, deadline: Span) -> Self {
        Self { http: HttpClient::new(vec![url.into()], deadline), deadline }
    }

    /// Fetches the whole list.
    pub async fn fetch(&self) -> Result<Vec<VmRecord>> {
        let request = self.http.request(|client, url| client.get(url), "/v1/vms");
        self.http.fetch(request.timeout(self.deadline.duration())).await
    }
}
