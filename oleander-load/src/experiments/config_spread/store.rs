//! The calls of the VMs to the simulated store.

use oleander_core::ids::ChangeId;
use oleander_core::ids::Revision;
use oleander_core::time::Time;
use oleander_membership::head::BodyHash;
use oleander_membership::head::Edit;
use oleander_membership::head::EditOutcome;
use oleander_membership::node::Action;
use oleander_membership::node::SharePlan;
use oleander_membership::node::StoreState;
use rand_chacha::rand_core::Rng as _;

use crate::experiments::config_spread::document;
use crate::experiments::config_spread::fake_store::FakeStore;
use crate::experiments::config_spread::fake_store::STORE_CALL_TIME;
use crate::experiments::config_spread::fleet::Event;
use crate::experiments::config_spread::fleet::Fleet;

impl Fleet {
    pub(super) fn read_store(&mut self, vm: usize, asked: Time) {
        if self.isolated[vm] {
            return;
        }
        let versions = (self.store.head.revision, self.store.shares_revision);
        self.record_reads(vm, versions);
        if !self.store.up {
            return;
        }
        self.versions[vm] = versions;
        let FakeStore { head, shares, shares_revision, .. } = &self.store;
        let state = StoreState {
            asked,
            head: head.clone(),
            shares: shares.clone(),
            shares_revision: *shares_revision,
        };
        let due = self.now + self.message_delay(0, vm);
        self.queue.schedule(due, Event::StoreReply { vm, state: Box::new(state) });
    }

    /// Counts one read of the versions of both keys, and a read of each value that has changed.
    fn record_reads(&mut self, vm: usize, present: (Revision, u64)) {
        let length = |text: serde_json::Result<Vec<u8>>| text.map_or(0, |text| text.len() as u64);
        let (head, shares) = self.versions[vm];
        self.traffic.record_read(vm, 0);
        if head != present.0 {
            self.traffic.record_read(vm, length(serde_json::to_vec(&self.store.head)));
        }
        if shares != present.1 {
            self.traffic.record_read(vm, length(serde_json::to_vec(&self.store.shares)));
        }
    }

    pub(super) fn handle_store_reply(&mut self, vm: usize, state: StoreState) {
        let (present, shares_revision) = (state.shares.clone(), state.shares_revision);
        self.run_node(vm, |node, now| node.on_store_read(now, state));
        if let Some(plan) = self.nodes[vm].plan(self.now, &present) {
            let due = self.now + STORE_CALL_TIME + self.message_delay(vm, 0);
            self.queue.schedule(due, Event::Commit { vm, plan: Box::new(plan), shares_revision });
        }
    }

    pub(super) fn commit(&mut self, vm: usize, plan: SharePlan, shares_revision: u64) {
        self.traffic.record_write();
        if self.store.up && shares_revision == self.store.shares_revision {
            self.store.shares_revision += 1;
            self.store.shares = plan.next;
        }
        self.execute(vm, vec![Action::ReadStore]);
    }

    pub(super) fn store_first_document(&mut self) {
        self.store.bodies = vec![String::new(); document::SECTIONS.len()];
        (0..document::SECTIONS.len()).for_each(|index| self.edit(index));
        // The whole first document counts as one revision.
        self.store.head.revision = Revision(1);
    }

    pub(super) fn edit(&mut self, index: usize) {
        let name = document::SECTIONS[index];
        // Edits rotate through the sections, beginning with the second one.
        let sections = document::SECTIONS.len() as u64;
        let edits =
            (1..=self.store.edits).filter(|edit| edit % sections == index as u64).count() as u64;
        let text = document::section(name, self.options.vms, edits);
        let edit = Edit {
            section: name.to_owned(),
            base: self.store.head.hash(name),
            hash: BodyHash::of(&text),
            change: ChangeId(self.rng.next_u64()),
        };
        if let EditOutcome::Next(next) = self.store.head.edit(&edit) {
            self.store.head = next;
            self.store.bodies[index] = text;
        }
    }
}
