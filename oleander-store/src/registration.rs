//! The registrations of VMs in the store.

use std::net::SocketAddr;

use oleander_core::ids::Incarnation;
use oleander_core::ids::VmId;
use oleander_core::places::Place;
use oleander_core::verdict::Verdict;
use oleander_membership::member::Member;
use oleander_membership::member::MemberState;
use serde::Deserialize;
use serde::Serialize;

use crate::errors::Error;
use crate::errors::Result;
use crate::errors::decode_error;
use crate::keys;
use crate::store::Commit;
use crate::store::CommitOutcome;
use crate::store::Entry;
use crate::store::ReadResponse;
use crate::store::Store;
use crate::store::StoreRevision;
use crate::store::Write;

/// The attempts to register against lost answers.
const ATTEMPTS: usize = 4;

/// `Registration` is what a VM writes about itself, once in each life of its agent.
///
/// The store's revision of the write is the incarnation: it grows with each life, also when the
/// registration was deleted in between.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Registration {
    /// The name of the VM.
    pub name: String,
    /// Where the VM stands.
    pub place: Place,
    /// The address at which the agent takes peer streams.
    pub agent: SocketAddr,
    /// The address at which the proxy takes peer streams.
    pub proxy: SocketAddr,
    /// A random number of this life, by which its own write is recognised.
    pub life: u64,
}

impl Registration {
    /// Makes the member that registered at the store's revision `stored`.
    pub fn member(self, stored: StoreRevision) -> Member {
        Member {
            vm: VmId::from_name(&self.name),
            name: self.name,
            incarnation: Incarnation(stored.0),
            place: self.place,
            agent: self.agent,
            proxy: self.proxy,
            state: MemberState::Alive,
        }
    }
}

/// Registers a VM and gets its incarnation.
pub async fn register(store: &Store, registration: &Registration) -> Result<Incarnation> {
    let key = keys::vm(&registration.name);
    let mut last = Error::Timeout("the registration was not confirmed");
    for _ in 0..ATTEMPTS {
        let value = serde_json::to_vec(registration).unwrap_or_default();
        let writes = vec![Write::Put { key: key.clone(), value }];
        match store.commit(Commit { expected: Vec::new(), writes }).await {
            Ok(CommitOutcome::Committed(revision)) => return Ok(Incarnation(revision.0)),
            Ok(CommitOutcome::Conflict) => {}
            Err(error) if error.verdict() == Verdict::MayHaveRun => last = error,
            Err(error) => return Err(error),
        }
        // The answer was lost: a write of this life may be in already.
        let reading = store.read(&key).await?;
        if let Some(entry) = reading.entries.first().filter(|entry| is_life(entry, registration)) {
            return Ok(Incarnation(entry.revision.0));
        }
    }
    Err(last)
}

/// Gets all registered VMs, and the store's revision at the read.
pub async fn read_members(store: &Store) -> Result<(StoreRevision, Vec<Member>)> {
    let ReadResponse { revision, entries } = store.list(keys::VMS).await?;
    let members = entries.iter().map(|entry| Ok(parse(entry)?.member(entry.revision)));
    Ok((revision, members.collect::<Result<_>>()?))
}

fn parse(entry: &Entry) -> Result<Registration> {
    serde_json::from_slice(&entry.value).map_err(|_| decode_error("malformed registration"))
}

fn is_life(entry: &Entry, registration: &Registration) -> bool {
    parse(entry).is_ok_and(|found| found.life == registration.life)
}
