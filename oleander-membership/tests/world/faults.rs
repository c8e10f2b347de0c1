//! Random injection and removal of faults.

use oleander_core::time::Span;

use super::Event;
use super::World;
use super::network::Links;

impl World {
    /// Injects one fault or removes some, and schedules the next.
    pub fn fault(&mut self) {
        if self.faults_off {
            return;
        }
        let count = self.vms.len() as u64;
        let vm = self.draw(count) as usize;
        match self.draw(12) {
            0 => self.store.up = false,
            1 | 2 => self.store.up = true,
            3 => self.split(),
            4 => self.links.sides = vec![0; self.vms.len()],
            5 => self.links.store[vm] = false,
            6 => self.links.store = vec![true; self.vms.len()],
            7 | 8 => {
                let pause = Span::from_millis(200 + self.draw(12_000));
                self.vms[vm].resumes_at = self.now + pause;
            }
            9 => self.start(vm),
            // The platform wrongly drops one running VM at a time.
            10 => {
                self.store.listed.fill(true);
                self.store.listed[vm] = false;
            }
            _ => {
                self.links.loss = [0, 3, 20][self.draw(3) as usize];
                self.links.list[vm] = self.draw(2) == 0;
            }
        }
        self.after(100, 4_000, Event::Fault);
    }

    /// Removes all faults and injects no more.
    pub fn heal(&mut self) {
        self.faults_off = true;
        self.store.up = true;
        self.store.listed.fill(true);
        self.links = Links::new(self.vms.len());
        for vm in &mut self.vms {
            vm.resumes_at = vm.resumes_at.min(self.now);
        }
    }

    fn split(&mut self) {
        for vm in 0..self.vms.len() {
            self.links.sides[vm] = self.draw(2);
        }
        // The store stays reachable from one side of the partition or from none.
        let side = self.draw(3);
        self.links.store = self.links.sides.iter().map(|own| *own == side).collect();
    }
}
