//! What the VMs of the experiment do at the fake store.

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
use crate::experiments::config_spread::fleet::Event;
use crate::experiments::config_spread::fleet::Fleet;
use crate::experiments::config_spread::platform::Platform;
use crate::experiments::config_spread::platform::STORE_TIME;

impl Fleet {
    pub(super) fn read(&mut self, vm: usize, asked: Time) {
        if self.cut[vm] {
            return;
        }
        let known = (self.store.head.revision, self.store.stored);
        self.read_values(vm, known);
        if !self.store.up {
            return;
        }
        self.known[vm] = known;
        let Platform { head, shares, stored, .. } = &self.store;
        let state = StoreState {
            asked,
            head: head.clone(),
            shares: shares.clone(),
            shares_revision: *stored,
        };
        let due = self.now + self.way(0, vm);
        self.queue.schedule(due, Event::State { vm, state: Box::new(state) });
    }

    /// Counts the look at both keys, and a read of each that has changed.
    fn read_values(&mut self, vm: usize, present: (Revision, u64)) {
        let length = |text: serde_json::Result<Vec<u8>>| text.map_or(0, |text| text.len() as u64);
        let (head, shares) = self.known[vm];
        self.traffic.read(vm, 0);
        if head != present.0 {
            self.traffic.read(vm, length(serde_json::to_vec(&self.store.head)));
        }
        if shares != present.1 {
            self.traffic.read(vm, length(serde_json::to_vec(&self.store.shares)));
        }
    }

    pub(super) fn state(&mut self, vm: usize, state: StoreState) {
        let (present, stored) = (state.shares.clone(), state.shares_revision);
        self.decide(vm, |node, now| node.on_store_read(now, state));
        if let Some(plan) = self.nodes[vm].plan(self.now, &present) {
            let due = self.now + STORE_TIME + self.way(vm, 0);
            self.queue.schedule(due, Event::Commit { vm, plan: Box::new(plan), stored });
        }
    }

    pub(super) fn commit(&mut self, vm: usize, plan: SharePlan, stored: u64) {
        self.traffic.write();
        if self.store.up && stored == self.store.stored {
            self.store.stored += 1;
            self.store.shares = plan.next;
        }
        self.act(vm, vec![Action::ReadStore]);
    }

    pub(super) fn store_first_document(&mut self) {
        self.store.texts = vec![String::new(); document::SECTIONS.len()];
        (0..document::SECTIONS.len()).for_each(|at| self.edit(at));
        // The whole first document counts as one revision.
        self.store.head.revision = Revision(1);
    }

    pub(super) fn edit(&mut self, at: usize) {
        let name = document::SECTIONS[at];
        // Edits go round the sections, beginning with the second one.
        let sections = document::SECTIONS.len() as u64;
        let edits =
            (1..=self.store.edits).filter(|edit| edit % sections == at as u64).count() as u64;
        let text = document::section(name, self.options.vms, edits);
        let edit = Edit {
            section: name.to_owned(),
            base: self.store.head.hash(name),
            hash: BodyHash::of(&text),
            change: ChangeId(self.rng.next_u64()),
        };
        if let EditOutcome::Next(next) = self.store.head.edit(&edit) {
            self.store.head = next;
            self.store.texts[at] = text;
        }
    }
}
