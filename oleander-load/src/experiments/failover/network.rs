//! The simulated network: links between VMs and instances, message delay and message loss.

use oleander_core::time::Span;
use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;

/// The number of instances of the group. Instance `i` is in the zone of VM `i`.
pub const INSTANCES: usize = 3;

/// The number of VMs: the first home, the second home and a witness, each in a zone of its own.
pub const VMS: usize = 3;

/// The delay of a message between two zones of a region, without jitter.
const ZONE_DELAY: Span = Span::from_micros(1_500);

/// `Link` is the state of a link, an instance or a VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Link {
    /// Messages are delivered, except for those lost at random.
    Up,
    /// All messages are lost.
    Down,
}

/// `Network` is the state of the links between VMs and instances.
#[derive(Clone, Debug)]
pub struct Network {
    /// The links by VM and instance.
    links: [[Link; INSTANCES]; VMS],
    instances: [Link; INSTANCES],
    vms: [Link; VMS],
    /// The probability that a message is lost.
    loss: f64,
}

impl Network {
    /// Creates a network with all links up, in which a message is lost with the probability `loss`.
    pub fn new(loss: f64) -> Self {
        Self {
            links: [[Link::Up; INSTANCES]; VMS],
            instances: [Link::Up; INSTANCES],
            vms: [Link::Up; VMS],
            loss,
        }
    }

    /// Sets the state of the link between a VM and an instance.
    pub fn set_link(&mut self, vm: usize, instance: usize, link: Link) {
        self.links[vm][instance] = link;
    }

    /// Sets the state of an instance; while it is down, no VM reaches it.
    pub fn set_instance(&mut self, instance: usize, link: Link) {
        self.instances[instance] = link;
    }

    /// Sets the state of a VM; while it is down, messages sent to or from it are lost.
    pub fn set_vm(&mut self, vm: usize, link: Link) {
        self.vms[vm] = link;
    }

    /// Returns `true` if the VM is running.
    pub fn is_running(&self, vm: usize) -> bool {
        self.vms[vm] == Link::Up
    }

    /// Returns the delay of a message between a VM and an instance; `None` if it is lost.
    pub fn instance_delay(
        &self,
        vm: usize,
        instance: usize,
        random: &mut ChaCha8Rng,
    ) -> Option<Span> {
        let up = self.links[vm][instance] == Link::Up
            && self.instances[instance] == Link::Up
            && self.is_running(vm);
        self.delay(up, vm == instance, random)
    }

    /// Returns the delay of a message between two VMs; `None` if it is lost.
    pub fn vm_delay(&self, from: usize, to: usize, random: &mut ChaCha8Rng) -> Option<Span> {
        self.delay(self.is_running(from) && self.is_running(to), false, random)
    }

    fn delay(&self, up: bool, same_zone: bool, random: &mut ChaCha8Rng) -> Option<Span> {
        let lost = random.random_bool(self.loss);
        let jitter = random.random_range(0..500);
        let base = if same_zone { Span(200) } else { ZONE_DELAY };
        (up && !lost).then_some(base + Span(jitter))
    }
}
