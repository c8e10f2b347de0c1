//! The VMs of the fleet: where they are registered, and questions to them.

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
use crate::errors::unreachable;

/// The time within which a VM answers.
const ANSWER_LIMIT: Span = Span::from_secs(2);

/// `Endpoint` is one process that can be asked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Endpoint {
    /// The name of the VM and of the program, or the address if the name is not known.
    pub name: String,
    /// The address.
    pub address: SocketAddr,
}

/// Gets the processes of all registered VMs.
///
/// # Errors
/// Fails if the store cannot be read.
pub async fn registered(store: &Store) -> Result<Vec<Member>> {
    let (_, members) = registration::read_members(store).await.map_err(unreachable)?;
    Ok(members)
}

/// Gets the agent and the proxy of each VM.
pub fn endpoints(vms: &[Member]) -> Vec<Endpoint> {
    let both = |vm: &Member| {
        [("agent", vm.agent), ("proxy", vm.proxy)]
            .map(|(program, address)| Endpoint { name: format!("{}/{program}", vm.name), address })
    };
    vms.iter().flat_map(both).collect()
}

/// Asks all processes at once; each answers or fails by itself.
pub async fn query_all(
    endpoints: &[Endpoint],
    request: &Request,
) -> Vec<(Endpoint, std::result::Result<Reply, String>)> {
    let client = PeerClient::default();
    let ask = |endpoint: &Endpoint| {
        let (client, endpoint) = (client.clone(), endpoint.clone());
        async move {
            let reply = client.call(endpoint.address, request, ANSWER_LIMIT).await;
            (endpoint, reply.map_err(|error| error.to_string()))
        }
    };
    join_all(endpoints.iter().map(ask)).await
}

/// Gets the recent events of the processes, by time; processes that did not answer come apart.
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
