//! The registered VMs of the fleet, and requests to their processes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use futures::future::join_all;
use oleander_core::time::Span;
use oleander_membership::member::Member;
use oleander_peer::client::PeerClient;
use oleander_peer::messages::Reply;
use oleander_peer::messages::Request;
use oleander_runtime::logs::EventRecord;
use oleander_store::registration;
use oleander_store::store::Store;

use crate::errors::Result;
use crate::errors::unreachable_error;

/// The time within which a process must answer a request.
const REPLY_TIMEOUT: Span = Span::from_secs(2);

/// `Endpoint` is the peer address of one agent or proxy process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Endpoint {
    /// The names of the VM and of the program, as in `vm-1/agent`; the address if the operator gave
    /// only that.
    pub name: String,
    /// The address at which the process accepts peer connections.
    pub address: SocketAddr,
}

/// Reads all registered VMs from the store.
///
/// # Errors
/// Returns `Error::Unreachable` if the store cannot be read.
pub async fn registered_vms(store: &Store) -> Result<Vec<Member>> {
    let (_, members) = registration::read_members(store).await.map_err(unreachable_error)?;
    Ok(members)
}

/// Returns the endpoints of the agent and the proxy of each VM.
pub fn endpoints(vms: &[Member]) -> Vec<Endpoint> {
    let processes = |vm: &Member| {
        [("agent", vm.agent), ("proxy", vm.proxy)]
            .map(|(program, address)| Endpoint { name: format!("{}/{program}", vm.name), address })
    };
    vms.iter().flat_map(processes).collect()
}

/// Sends a request to all endpoints concurrently and returns each reply, or the reason why there is
/// none, in the order of the endpoints.
pub async fn query_all(
    endpoints: &[Endpoint],
    request: &Request,
) -> Vec<(Endpoint, std::result::Result<Reply, String>)> {
    let client = PeerClient::default();
    let query = |endpoint: &Endpoint| {
        let (client, endpoint) = (client.clone(), endpoint.clone());
        async move {
            let reply = client.call(endpoint.address, request, REPLY_TIMEOUT).await;
            (endpoint, reply.map_err(|error| error.to_string()))
        }
    };
    join_all(endpoints.iter().map(query)).await
}

/// Returns the recent events of all processes in the order of their time stamps, and by name the
/// reason why a process sent none.
pub async fn events(endpoints: &[Endpoint]) -> (Vec<EventRecord>, BTreeMap<String, String>) {
    let mut records = Vec::new();
    let mut silent = BTreeMap::new();
    for (endpoint, reply) in query_all(endpoints, &Request::Events).await {
        match reply {
            Ok(Reply::Events(texts)) => {
                records.extend(texts.iter().filter_map(|text| serde_json::from_str(text).ok()));
            }
            Ok(_) => {
                silent.insert(endpoint.name, "the process keeps no events".to_owned());
            }
            Err(reason) => {
                silent.insert(endpoint.name, reason);
            }
        }
    }
    records.sort_by_key(|record: &EventRecord| (record.unix_ms, record.serial));
    (records, silent)
}
