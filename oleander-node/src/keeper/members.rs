//! The members of a database as the keeper record holds them, and where they were listed last.

use std::collections::HashMap;
use std::net::SocketAddr;

use oleander_core::ids::DatabaseId;
use oleander_core::ids::InstanceKey;
use oleander_failover::keeper::Keeper;
use oleander_failover::keeper::messages::Liveness;
use oleander_failover::keeper::messages::MemberState;
use oleander_ports::directory::DirectoryEntry;

use crate::fleet::KeeperRecord;
use crate::fleet::MemberRecord;
use crate::fleet::View;

/// `Members` holds what the record says of the members, and their addresses.
#[derive(Debug, Default)]
pub struct Members {
    /// The members as the record names them; `None` if it does not.
    pub records: Option<Vec<MemberRecord>>,
    /// The start of the instance whose promotion was ordered last.
    pub ordered_life: Option<u64>,
    listings: HashMap<InstanceKey, Listing>,
}

/// `Listing` is where an instance was listed last.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listing {
    /// The name of the instance.
    pub instance: String,
    /// The start of the instance.
    pub life: u64,
    /// The address of the instance.
    pub address: SocketAddr,
}

impl From<&DirectoryEntry> for Listing {
    fn from(entry: &DirectoryEntry) -> Self {
        Self { instance: entry.instance.to_string(), life: entry.life, address: entry.address }
    }
}

impl From<&MemberRecord> for Listing {
    fn from(record: &MemberRecord) -> Self {
        let MemberRecord { instance, life, address, .. } = record.clone();
        Self { instance, life, address }
    }
}

impl Members {
    /// Creates the members that a former record names.
    pub fn new(former: Option<&KeeperRecord>) -> Self {
        let records = former.and_then(|former| former.members.clone());
        let listings =
            records.iter().flatten().map(|record| (key_of(record), Listing::from(record)));
        let listings = listings.collect();
        let ordered_life = former.and_then(|former| former.ordered_life);
        Self { records, ordered_life, listings }
    }

    /// Returns the members from which a new keeper starts: those of the record and those that this VM
    /// remembers although the directory no longer names them.
    pub fn states(&mut self, view: &View, database: DatabaseId) -> Vec<MemberState> {
        let mut states: Vec<MemberState> = self.records.iter().flatten().map(state_of).collect();
        for departed in view.departed_of(database) {
            let DirectoryEntry { life, primary, leaving, .. } = departed.entry;
            let (key, liveness) = (departed.key, Liveness::Running);
            if !states.iter().any(|known| known.key == key) {
                states.push(MemberState { key, life, primary, leaving, liveness, cover: None });
                self.listings.insert(key, Listing::from(&departed.entry));
            }
        }
        states
    }

    /// Takes over what the keeper says of the members. Returns where those were listed last that the
    /// directory does not name.
    pub fn update(
        &mut self,
        keeper: &Keeper,
        view: &View,
        database: DatabaseId,
    ) -> HashMap<InstanceKey, Listing> {
        for instance in view.instances_of(database) {
            let listing = Listing::from(&instance.entry);
            if self.listings.get(&instance.key) != Some(&listing) {
                self.listings.insert(instance.key, listing);
            }
        }
        let states = keeper.members();
        let records = states.iter().filter_map(|state| self.record_of(state)).collect();
        self.records = Some(records);
        self.ordered_life = keeper.ordered_life();
        self.listings.retain(|key, _| states.iter().any(|state| state.key == *key));
        let is_unlisted = |(key, _): &(&InstanceKey, &Listing)| !view.instances.contains_key(*key);
        let unlisted = self.listings.iter().filter(is_unlisted);
        unlisted.map(|(key, listing)| (*key, listing.clone())).collect()
    }

    /// Returns the name of a member.
    pub fn name_of(&self, key: InstanceKey) -> Option<String> {
        self.listings.get(&key).map(|listing| listing.instance.clone())
    }

    fn record_of(&self, state: &MemberState) -> Option<MemberRecord> {
        let Listing { instance, address, .. } = self.listings.get(&state.key)?.clone();
        let MemberState { life, primary, leaving, liveness, cover, .. } = *state;
        Some(MemberRecord { instance, life, address, primary, leaving, liveness, cover })
    }
}

fn key_of(record: &MemberRecord) -> InstanceKey {
    InstanceKey::from_name(&record.instance)
}

fn state_of(record: &MemberRecord) -> MemberState {
    let MemberRecord { life, primary, leaving, liveness, cover, .. } = *record;
    MemberState { key: key_of(record), life, primary, leaving, liveness, cover }
}
