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

/// The maximum number of attempts to register if answers are lost.
const MAX_ATTEMPTS: usize = 4;

/// `Registration` is the record of a VM in the store, written by its agent when it joins the fleet.
///
/// The store revision of the write is the incarnation. It increases with each registration, even if
/// the record was deleted in between.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Registration {
    /// The name of the VM.
    pub name: String,
    /// The region and availability zone of the VM.
    pub place: Place,
    /// The address at which the agent accepts peer streams.
    pub agent: SocketAddr,
    /// The address at which the proxy accepts peer streams.
    pub proxy: SocketAddr,
    /// A random number chosen when the agent process starts, by which it recognises its own write.
    pub life: u64,
}

impl Registration {
    /// Returns the member record of a VM whose registration has the store revision `revision`.
    pub fn into_member(self, revision: StoreRevision) -> Member {
        Member {
            vm: VmId::from_name(&self.name),
            name: self.name,
            incarnation: Incarnation(revision.0),
            place: self.place,
            agent: self.agent,
            proxy: self.proxy,
            state: MemberState::Alive,
        }
    }
}

/// Registers a VM and returns its incarnation. A write whose answer was lost is looked up, and
/// repeated if it did not take effect.
pub async fn register(store: &Store, registration: &Registration) -> Result<Incarnation> {
    let key = keys::vm(&registration.name);
    let mut last_error = Error::Timeout("the registration was not confirmed");
    for _ in 0..MAX_ATTEMPTS {
        let value = serde_json::to_vec(registration).unwrap_or_default();
        let writes = vec![Write::Put { key: key.clone(), value }];
        match store.commit(Commit { expected: Vec::new(), writes }).await {
            Ok(CommitOutcome::Committed(revision)) => return Ok(Incarnation(revision.0)),
            Ok(CommitOutcome::Conflict) => {}
            Err(error) if error.verdict() == Verdict::MayHaveRun => last_error = error,
            Err(error) => return Err(error),
        }
        // The answer was lost, so the write may have taken effect.
        let reading = store.read(&key).await?;
        if let Some(entry) =
            reading.entries.first().filter(|entry| is_own_write(entry, registration))
        {
            return Ok(Incarnation(entry.revision.0));
        }
    }
    Err(last_error)
}

/// Returns the store revision of the read and all registered VMs. Fails if any registration is
/// malformed.
pub async fn read_members(store: &Store) -> Result<(StoreRevision, Vec<Member>)> {
    let ReadResponse { revision, entries } = store.list(keys::VMS).await?;
    let members = entries.iter().map(|entry| Ok(parse(entry)?.into_member(entry.revision)));
    Ok((revision, members.collect::<Result<_>>()?))
}

fn parse(entry: &Entry) -> Result<Registration> {
    serde_json::from_slice(&entry.value).map_err(|_| decode_error("malformed registration"))
}

/// Returns `true` if this process wrote the entry.
fn is_own_write(entry: &Entry, registration: &Registration) -> bool {
    parse(entry).is_ok_and(|found| found.life == registration.life)
}
