//! The platform's list of live and leaving VMs.

use oleander_core::time::Span;
use serde::Deserialize;
use serde::Serialize;

use crate::errors::Result;
use crate::http::HttpClient;

/// `VmState` is the platform's word on a VM.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM is to stop soon.
    Leaving,
}

/// `VmRecord` is one entry of the list. The list lags behind the truth.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct VmRecord {
    /// The name of the VM.
    pub name: String,
    /// The platform's word on it.
    pub state: VmState,
}

/// `VmList` is a client of the list.
#[derive(Debug)]
pub struct VmList {
    http: HttpClient,
    deadline: Span,
}

impl VmList {
    /// Makes a client of the list at the base URL `url`; each call is answered within `deadline`.
    pub fn new(url: impl Into<String>, deadline: Span) -> Self {
        Self { http: HttpClient::new(vec![url.into()], deadline), deadline }
    }

    /// Gets the list.
    pub async fn fetch(&self) -> Result<Vec<VmRecord>> {
        let request = self.http.request(|client, url| client.get(url), "/v1/vms");
        self.http.fetch(request.timeout(self.deadline.duration())).await
    }
}
