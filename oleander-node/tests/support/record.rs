//! The keeper's record as a VM sees it.

use std::sync::Arc;

use oleander_core::ids::DatabaseId;
use oleander_core::ids::InstanceKey;
use oleander_node::fleet::Fleet;
use oleander_node::fleet::KeeperEntry;
use oleander_node::fleet::KeeperRecord;
use oleander_node::fleet::View;
use oleander_ports::store::StoreRevision;

/// Sets the primary in the keeper's record of `DatabaseId(1)`.
pub fn set_primary(fleet: &Fleet, primary: Option<InstanceKey>) {
    let record = KeeperRecord {
        holder: None,
        duty: 1,
        primary: None,
        ordered: None,
        term: 1,
        era: 0,
        restored: false,
        members: None,
        ordered_life: None,
    };
    let keeper = KeeperEntry {
        holder: None,
        primary,
        ordered: None,
        record: Arc::new(record),
        revision: StoreRevision(1),
        known: StoreRevision(1),
        restored: false,
    };
    let keepers = Arc::new([(DatabaseId(1), keeper)].into());
    fleet.set_view(View { revision: StoreRevision(1), keepers, ..View::default() });
}
