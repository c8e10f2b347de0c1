//! Builds fleet views from full reads of the store and from the changes that a watch returns.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use oleander_config::snapshot::Snapshot;
use oleander_core::events::Event;
use oleander_core::ids::DatabaseId;
use oleander_core::ids::InstanceKey;
use oleander_core::ids::VmId;
use oleander_core::line::Name;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_limits::home::warmup;
use oleander_limits::home::warmup::Registration;
use oleander_membership::leased::LeasedMember;
use oleander_ports::directory::DirectoryEntry;
use oleander_ports::sources::Sources;
use oleander_ports::store::Change;
use oleander_ports::store::Changes;
use oleander_ports::store::Entry;
use oleander_ports::store::ReadResponse;
use oleander_ports::store::StoreRevision;
use oleander_runtime::logs::Field;
use oleander_runtime::logs::Journal;
use serde::Deserialize;
use serde::Serialize;

use crate::fleet::Instance;
use crate::fleet::KeeperEntry;
use crate::fleet::KeeperRecord;
use crate::fleet::MAX_REJECTED;
use crate::fleet::View;
use crate::settings::NodeSettings;

/// The key prefix of VM records, below `Sources::own_prefix`.
const VM_PREFIX: &str = "vm/";

/// The key prefix of keeper records, below `Sources::own_prefix`.
const KEEPER_PREFIX: &str = "keeper/";

/// The key of the record of the confirmed era, below `Sources::own_prefix`.
const ERA_KEY: &str = "era";

/// `EraRecord` is the stored record of the latest era of the store whose configuration may be gone by:
/// operators have written it again, or VMs have waited for that. A copy has a record of an earlier era.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct EraRecord {
    /// The era.
    pub era: u64,
}

/// Returns the store key of the record of the confirmed era.
pub fn era_key(sources: &Sources) -> String {
    format!("{}{ERA_KEY}", sources.own_prefix)
}

/// Returns the store key of the record of the VM `name`.
pub fn vm_key(sources: &Sources, name: &str) -> String {
    format!("{}{VM_PREFIX}{name}", sources.own_prefix)
}

/// Returns the store key of the keeper record of `database`.
pub fn keeper_key(sources: &Sources, database: &str) -> String {
    format!("{}{KEEPER_PREFIX}{database}", sources.own_prefix)
}

/// The number of characters to which the reason is cut for which an entry was rejected.
const MAX_REASON_CHARS: usize = 200;

/// The time for which an instance is remembered that the directory no longer names.
const DEPARTED_TIME: Span = Span::from_secs(600);

/// `Applier` builds the next view from the former one and what the store returned, and logs each
/// change. Values that cannot be decoded are logged as well and never fail the whole update.
#[derive(Debug)]
pub struct Applier {
    sources: Sources,
    settings: Arc<NodeSettings>,
    journal: Journal,
}

/// `Draft` is a view under construction. Its parts are shared with the former view until they
/// change.
struct Draft {
    view: View,
    now: Time,
}

impl Applier {
    /// Creates an applier; `settings` give the region of each zone and the drain window.
    pub fn new(sources: Sources, settings: Arc<NodeSettings>, journal: Journal) -> Self {
        Self { sources, settings, journal }
    }

    /// Returns the view after a full read. Whatever `former` has and the reading lacks is removed.
    ///
    /// The first reading of a new era shows a copy of the store, in which what has been written
    /// since is missing. What `former` has of instances, evacuations, VMs and keepers is then kept
    /// until the next reading, by which time it has been written again. A VM whose lease the store
    /// has lost uses its shares until the end of the lease as it counts it. An evacuation that only
    /// the copy has is in force at once, since it may have been requested after the restore.
    pub fn apply_reading(&self, former: &View, reading: &ReadResponse, now: Time) -> View {
        if is_restored(former, reading) {
            return self.apply_restored(former, reading, now);
        }
        let mut draft = Draft { view: former.clone(), now };
        let present: HashSet<&str> =
            reading.entries.iter().map(|entry| entry.key.as_str()).collect();
        self.drop_absent(&mut draft, &present, reading.revision);
        for entry in &reading.entries {
            self.put(&mut draft, entry);
        }
        draft.view.revision = reading.revision;
        self.log_unused(former, &draft.view);
        draft.view
    }

    fn apply_restored(&self, former: &View, reading: &ReadResponse, now: Time) -> View {
        let mut draft = Draft { view: former.clone(), now };
        for keeper in Arc::make_mut(&mut draft.view.keepers).values_mut() {
            *keeper = keeper.kept(StoreRevision(0));
        }
        let directory = self.sources.directory_prefix;
        for entry in reading.entries.iter().filter(|entry| !entry.key.starts_with(directory)) {
            self.put(&mut draft, entry);
        }
        draft.view.revision = reading.revision;
        let fields = [
            Field::number("era", reading.revision.era()),
            revision_field(reading.revision),
            Field::number("known", former.revision.0),
        ];
        self.journal.record(Event::StoreRestored, &fields);
        self.log_unused(former, &draft.view);
        draft.view
    }

    /// Returns the view after `changes`, or `None` if there are none.
    pub fn apply_changes(&self, former: &View, changes: &Changes, now: Time) -> Option<View> {
        if changes.changes.is_empty() {
            return None;
        }
        let mut draft = Draft { view: former.clone(), now };
        for change in &changes.changes {
            match change {
                Change::Put(entry) => self.put(&mut draft, entry),
                Change::Deleted { key, revision } => self.delete(&mut draft, key, *revision),
            }
        }
        draft.view.revision = changes.revision;
        self.log_unused(former, &draft.view);
        Some(draft.view)
    }

    /// Logs the instances whose database the configuration does not name, once for as long as that
    /// stays so.
    fn log_unused(&self, former: &View, view: &View) {
        if Arc::ptr_eq(&former.instances, &view.instances)
            && Arc::ptr_eq(&former.snapshot, &view.snapshot)
        {
            return;
        }
        let is_unused = |view: &View, instance: &Instance| !view.is_configured(instance.database);
        for instance in view.instances.values().filter(|instance| is_unused(view, instance)) {
            let known = former.instances.get(&instance.key);
            if known.is_some_and(|known| {
                known.database == instance.database && is_unused(former, known)
            }) {
                continue;
            }
            let fields = [
                Field::text("instance", &instance.entry.instance),
                Field::text("database", &instance.entry.database),
                Field::text("reason", "the configuration does not name the database"),
                revision_field(view.revision),
            ];
            self.journal.record(Event::InstanceUnused, &fields);
        }
    }

    fn drop_absent(&self, draft: &mut Draft, present: &HashSet<&str>, revision: StoreRevision) {
        let view = &draft.view;
        let directory = self.sources.directory_prefix;
        let is_listed = |instance: &Instance| {
            present.contains(format!("{directory}{}", instance.entry.instance).as_str())
        };
        let dropped = view.instances.values().filter(|instance| !is_listed(instance));
        let dropped: Vec<InstanceKey> = dropped.map(|instance| instance.key).collect();
        for key in dropped {
            drop_instance(draft, key);
        }
        let is_present = |name: &str| present.contains(format!("{directory}{name}").as_str());
        if draft.view.rejected.keys().any(|name| !is_present(name)) {
            Arc::make_mut(&mut draft.view.rejected).retain(|name, _| is_present(name));
        }
        let prefix = self.sources.evacuation_prefix;
        let is_requested = |zone: &str| present.contains(format!("{prefix}{zone}").as_str());
        let zones = draft.view.evacuated.keys();
        let ended: Vec<String> = zones.filter(|zone| !is_requested(zone)).cloned().collect();
        for zone in ended {
            self.end_evacuation(draft, &zone, revision);
        }
        let view = &mut draft.view;
        let vms: Vec<VmId> = present
            .iter()
            .filter_map(|key| key.strip_prefix(self.sources.own_prefix)?.strip_prefix(VM_PREFIX))
            .map(VmId::from_name)
            .collect();
        Arc::make_mut(&mut view.roster).retain_present(&vms, draft.now);
        let databases: Vec<DatabaseId> = present
            .iter()
            .filter_map(|key| {
                key.strip_prefix(self.sources.own_prefix)?.strip_prefix(KEEPER_PREFIX)
            })
            .map(DatabaseId::from_name)
            .collect();
        // A record that the store has lost is written again by the next keeper.
        let is_kept = |database: &DatabaseId, keeper: &KeeperEntry| {
            databases.contains(database) || keeper.revision == StoreRevision(0)
        };
        Arc::make_mut(&mut view.keepers).retain(|database, keeper| is_kept(database, keeper));
    }

    fn put(&self, draft: &mut Draft, entry: &Entry) {
        if entry.key == self.sources.configuration_key {
            self.put_configuration(draft, entry);
        } else if entry.key.starts_with(self.sources.directory_prefix) {
            self.put_instance(draft, entry);
        } else if let Some(zone) = self.evacuated_zone(&entry.key) {
            self.start_evacuation(draft, zone, entry.revision);
        } else if let Some(suffix) = entry.key.strip_prefix(self.sources.own_prefix) {
            if suffix.starts_with(VM_PREFIX) {
                self.put_vm(draft, entry);
            } else if let Some(database) = suffix.strip_prefix(KEEPER_PREFIX) {
                self.put_keeper(draft, database, entry);
            } else if suffix == ERA_KEY {
                match serde_json::from_slice::<EraRecord>(&entry.value) {
                    Ok(record) => draft.view.confirmed_era = record.era,
                    Err(_) => self.log_rejected(entry),
                }
            }
        }
    }

    fn delete(&self, draft: &mut Draft, key: &str, revision: StoreRevision) {
        let view = &mut draft.view;
        if let Some(name) = key.strip_prefix(self.sources.directory_prefix) {
            forget_rejected(draft, name);
            if drop_instance(draft, InstanceKey::from_name(name)) {
                let fields = [
                    Field::text("instance", name),
                    Field::text("state", "gone"),
                    revision_field(revision),
                ];
                self.journal.record(Event::InstanceChanged, &fields);
            }
        } else if let Some(zone) = self.evacuated_zone(key) {
            self.end_evacuation(draft, zone, revision);
        } else if let Some(suffix) = key.strip_prefix(self.sources.own_prefix) {
            if let Some(name) = suffix.strip_prefix(VM_PREFIX) {
                Arc::make_mut(&mut view.roster).end_lease(VmId::from_name(name), draft.now);
                self.journal
                    .record(Event::VmLeft, &[Field::text("vm", name), revision_field(revision)]);
            } else if let Some(database) = suffix.strip_prefix(KEEPER_PREFIX) {
                Arc::make_mut(&mut view.keepers).remove(&DatabaseId::from_name(database));
            }
        }
    }

    /// Returns the zone that the key requests to evacuate; `None` for any other key.
    fn evacuated_zone<'a>(&self, key: &'a str) -> Option<&'a str> {
        key.strip_prefix(self.sources.evacuation_prefix).filter(|zone| !zone.is_empty())
    }

    /// Records the evacuation of a zone, unless it is known. Its key is all that counts, so that no
    /// value is malformed.
    fn start_evacuation(&self, draft: &mut Draft, zone: &str, revision: StoreRevision) {
        if !draft.view.evacuated.contains_key(zone) {
            Arc::make_mut(&mut draft.view.evacuated).insert(zone.to_owned(), draft.now);
            let fields = [Field::text("zone", zone), revision_field(revision)];
            self.journal.record(Event::EvacuationStarted, &fields);
        }
    }

    fn end_evacuation(&self, draft: &mut Draft, zone: &str, revision: StoreRevision) {
        if draft.view.evacuated.contains_key(zone) {
            Arc::make_mut(&mut draft.view.evacuated).remove(zone);
            let fields = [Field::text("zone", zone), revision_field(revision)];
            self.journal.record(Event::EvacuationEnded, &fields);
        }
    }

    /// Applies a configuration. One that cannot be decoded leaves the former one in force.
    fn put_configuration(&self, draft: &mut Draft, entry: &Entry) {
        if entry.revision <= draft.view.configuration_revision {
            return;
        }
        match (self.sources.decode_configuration)(&entry.value) {
            // A store that was restored from a copy may show an earlier version, with keys that
            // have been withdrawn since.
            Ok(snapshot) if snapshot.revision < draft.view.snapshot.revision => {
                let fields = [
                    Field::text("reason", "an earlier version than the one in force"),
                    Field::number("revision", snapshot.revision.0),
                    revision_field(entry.revision),
                ];
                self.journal.record(Event::RevisionRejected, &fields);
            }
            Ok(snapshot) => {
                self.log_configuration(&snapshot, entry.revision);
                draft.view.snapshot = Arc::new(snapshot);
                draft.view.configuration_revision = entry.revision;
            }
            Err(reason) => {
                let fields = [Field::text("reason", reason), revision_field(entry.revision)];
                self.journal.record(Event::RevisionRejected, &fields);
            }
        }
    }

    fn log_configuration(&self, snapshot: &Snapshot, revision: StoreRevision) {
        let fields = [
            Field::number("revision", snapshot.revision.0),
            Field::number("routes", snapshot.routes.len() as u64),
            Field::number("workspaces", snapshot.workspaces.len() as u64),
            revision_field(revision),
        ];
        self.journal.record(Event::RevisionInForce, &fields);
    }

    /// Applies an entry of the directory. One that cannot be decoded removes the instance.
    fn put_instance(&self, draft: &mut Draft, entry: &Entry) {
        let name = entry.key.strip_prefix(self.sources.directory_prefix).unwrap_or_default();
        let key = InstanceKey::from_name(name);
        let decoded = match (self.sources.decode_entry)(&entry.key, &entry.value) {
            Ok(decoded) => decoded,
            Err(reason) => {
                self.note_rejected(draft, name, &reason, entry.revision);
                drop_instance(draft, key);
                return;
            }
        };
        forget_rejected(draft, name);
        let former = draft.view.instances.get(&key);
        let leaving_since =
            former.and_then(|former| former.leaving_since).unwrap_or(self.leaving_start(draft));
        let known = former.map(|former| (start_of(&former.entry), former.cold_until));
        let instance = Instance {
            key,
            leaving_since: decoded.leaving.then_some(leaving_since),
            cold_until: warmup::cold_until(draft.now, known, start_of(&decoded)),
            database: DatabaseId::from_name(&decoded.database),
            place: self.settings.place_of(&decoded.zone),
            entry: decoded,
        };
        if draft.view.instances.get(&key) == Some(&instance) {
            return;
        }
        let fields = [
            Field::text("instance", name),
            Field::text("database", &instance.entry.database),
            Field::text("zone", &instance.entry.zone),
            Field::text("state", if instance.entry.leaving { "leaving" } else { "ready" }),
            Field::text("role", if instance.entry.primary { "primary" } else { "replica" }),
            Field::number("life", instance.entry.life),
            revision_field(entry.revision),
        ];
        self.journal.record(Event::InstanceChanged, &fields);
        let is_known = known.is_some_and(|(start, _)| start.life == instance.entry.life);
        if instance.cold_until.is_some() && !is_known {
            let fields = [
                Field::text("instance", name),
                Field::number("life", instance.entry.life),
                Field::millis("warmup", instance.entry.warmup),
                revision_field(entry.revision),
            ];
            self.journal.record(Event::InstanceCold, &fields);
        }
        Arc::make_mut(&mut draft.view.instances).insert(key, instance);
        if draft.view.departed.contains_key(&key) {
            Arc::make_mut(&mut draft.view.departed).remove(&key);
        }
    }

    /// Notes an entry that names no instance. Logs it unless it is known to be rejected for this reason:
    /// its writer may write it again and again.
    fn note_rejected(&self, draft: &mut Draft, name: &str, reason: &str, revision: StoreRevision) {
        // A reason quotes the value, which may be long.
        let reason: String = reason.chars().take(MAX_REASON_CHARS).collect();
        let view = &mut draft.view;
        if view.rejected.get(name) == Some(&reason) {
            return;
        }
        let is_listed = view.instances.contains_key(&InstanceKey::from_name(name));
        let fields = [
            Field::text("instance", name),
            Field::text("reason", &reason),
            Field::text("former", if is_listed { "an instance" } else { "none" }),
            revision_field(revision),
        ];
        self.journal.record(Event::EntryRejected, &fields);
        if view.rejected.len() < MAX_REJECTED || view.rejected.contains_key(name) {
            Arc::make_mut(&mut view.rejected).insert(name.to_owned(), reason);
        }
    }

    /// Returns the time since which an instance that is first seen leaving counts as leaving.
    ///
    /// On the first read of this process the instance may have been leaving for a while, so that
    /// half of the drain window counts as passed.
    fn leaving_start(&self, draft: &Draft) -> Time {
        let is_first = draft.view.revision == StoreRevision(0);
        let passed = if is_first { self.settings.drain_window().0 / 2 } else { 0 };
        Time(draft.now.0.saturating_sub(passed))
    }

    fn put_vm(&self, draft: &mut Draft, entry: &Entry) {
        let Ok(member) = serde_json::from_slice::<LeasedMember>(&entry.value) else {
            return self.log_rejected(entry);
        };
        if draft.view.roster.member(member.vm()) != Some(&member) {
            let fields = [
                Field::text("vm", &member.name),
                Field::text("state", if member.leaving { "leaving" } else { "here" }),
                Field::number("life", member.life),
                revision_field(entry.revision),
            ];
            self.journal.record(Event::VmJoined, &fields);
        }
        Arc::make_mut(&mut draft.view.roster).put(member);
    }

    fn put_keeper(&self, draft: &mut Draft, database: &str, entry: &Entry) {
        let Ok(record) = serde_json::from_slice::<KeeperRecord>(&entry.value) else {
            return self.log_rejected(entry);
        };
        let id = DatabaseId::from_name(database);
        let former = draft.view.keepers.get(&id);
        let keeper = match former {
            // This VM has written the record again, or keeps its content from before the store was
            // restored.
            Some(former) if entry.revision <= former.revision => return,
            Some(former)
                if record.era < entry.revision.era()
                    && entry.revision.change() <= former.known.change() =>
            {
                former.kept(entry.revision)
            }
            _ => KeeperEntry::new(record, entry.revision),
        };
        let record = &keeper.record;
        let content = |keeper: &KeeperEntry| (keeper.holder, keeper.primary, keeper.ordered);
        if former.is_none_or(|former| content(former) != content(&keeper)) {
            let fields = [
                Field::text("database", database),
                Field::text("holder", record.holder.as_deref().unwrap_or("none")),
                Field::text("primary", record.primary.as_deref().unwrap_or("none")),
                Field::text("ordered", record.ordered.as_deref().unwrap_or("none")),
                revision_field(entry.revision),
            ];
            self.journal.record(Event::KeeperChanged, &fields);
        }
        Arc::make_mut(&mut draft.view.keepers).insert(id, keeper);
    }

    fn log_rejected(&self, entry: &Entry) {
        let fields = [
            Field::text("key", &entry.key),
            Field::text("reason", "the value is not the record that its key names"),
            revision_field(entry.revision),
        ];
        self.journal.record(Event::EntryRejected, &fields);
    }
}

/// Forgets that an entry was rejected, as it is whole now or gone.
fn forget_rejected(draft: &mut Draft, name: &str) {
    if draft.view.rejected.contains_key(name) {
        Arc::make_mut(&mut draft.view.rejected).remove(name);
    }
}

/// Drops an instance that the directory no longer names, and remembers it for a while. Returns
/// `true` if it was known.
fn drop_instance(draft: &mut Draft, key: InstanceKey) -> bool {
    if !draft.view.instances.contains_key(&key) {
        return false;
    }
    let dropped = Arc::make_mut(&mut draft.view.instances).remove(&key);
    let departed = Arc::make_mut(&mut draft.view.departed);
    departed.retain(|_, (_, since)| draft.now.since(*since) < DEPARTED_TIME);
    departed.extend(dropped.map(|instance| (key, (instance, draft.now))));
    true
}

/// Returns `true` if a reading is the first one of a new era of the store.
pub fn is_restored(former: &View, reading: &ReadResponse) -> bool {
    former.revision != StoreRevision(0) && former.revision.era() < reading.revision.era()
}

/// Returns what an entry of the directory says about the start of its instance.
fn start_of(entry: &DirectoryEntry) -> Registration {
    Registration { life: entry.life, warmup: entry.warmup }
}

fn revision_field(revision: StoreRevision) -> Field {
    Field::number("at", revision.0)
}

/// Returns the identifier and name of each database that the configuration names and that has an
/// instance in the view. A database that only the directory names has no keeper: what another writer
/// has left there must not be probed, promoted or written to the store.
pub fn served_databases(view: &View) -> HashMap<DatabaseId, Name> {
    let served = view.instances.values().filter(|instance| view.is_configured(instance.database));
    served.map(|instance| (instance.database, instance.entry.database.clone())).collect()
}
