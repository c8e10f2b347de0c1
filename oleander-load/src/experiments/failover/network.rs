//! Which parts of the small fleet reach one another, and how fast.

use oleander_core::time::Span;
use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;

/// The number of instances of the group.
pub const INSTANCES: usize = 3;

/// The number of VMs: the first home, the second home and a witness, each in a zone of its own.
pub const VMS: usize = 3;

/// The time that a message takes between two zones of a region.
const ZONE_DELAY: Span = Span::from_micros(1_500);

/// `Line` says what happens to messages on one link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Line {
    /// Messages arrive.
    Up,
    /// Messages vanish.
    Down,
}

/// `Network` holds the links between VMs and instances.
#[derive(Clone, Debug)]
pub struct Network {
    lines: [[Line; INSTANCES]; VMS],
    instances: [Line; INSTANCES],
    vms: [Line; VMS],
    loss: f64,
}

impl Network {
    /// Makes a network in which every message but a share of `loss` arrives.
    pub fn new(loss: f64) -> Self {
        Self {
            lines: [[Line::Up; INSTANCES]; VMS],
            instances: [Line::Up; INSTANCES],
            vms: [Line::Up; VMS],
            loss,
        }
    }

    /// Sets the link between a VM and an instance.
    pub fn set_line(&mut self, vm: usize, instance: usize, line: Line) {
        self.lines[vm][instance] = line;
    }

    /// Sets all links of an instance.
    pub fn set_instance(&mut self, instance: usize, line: Line) {
        self.instances[instance] = line;
    }

    /// Sets whether a VM runs.
    pub fn set_vm(&mut self, vm: usize, line: Line) {
        self.vms[vm] = line;
    }

    /// Returns `true` if the VM runs.
    pub fn runs(&self, vm: usize) -> bool {
        self.vms[vm] == Line::Up
    }

    /// Gets the delay of a message between a VM and an instance; `None` if it is lost.
    pub fn reach(&self, vm: usize, instance: usize, random: &mut ChaCha8Rng) -> Option<Span> {
        let up = self.lines[vm][instance] == Line::Up
            && self.instances[instance] == Line::Up
            && self.runs(vm);
        self.delay(up, vm == instance, random)
    }

    /// Gets the delay of a message between two VMs; `None` if it is lost.
    pub fn reach_vm(&self, from: usize, to: usize, random: &mut ChaCha8Rng) -> Option<Span> {
        self.delay(self.runs(from) && self.runs(to), false, random)
    }

    fn delay(&self, up: bool, same_zone: bool, random: &mut ChaCha8Rng) -> Option<Span> {
        let lost = random.random_bool(self.loss);
        let jitter = random.random_range(0..500);
        let base = if same_zone { Span(200) } else { ZONE_DELAY };
        (up && !lost).then_some(base + Span(jitter))
    }
}
