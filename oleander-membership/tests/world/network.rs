//! Messages between agents, with delays, losses and partitions.

use oleander_core::ids::VmId;
use oleander_core::time::Time;
use oleander_membership::messages::MemberReply;
use oleander_membership::messages::MemberRequest;
use rand_chacha::rand_core::Rng as _;

use super::Event;
use super::RunNumber;
use super::World;

/// `Envelope` is a message in transit.
pub struct Envelope {
    pub from: usize,
    pub from_run: RunNumber,
    pub to: usize,
    /// The run of the receiver; a message to an earlier run is discarded.
    pub run: RunNumber,
    /// The local time of the VM that sent the request, at which it sent it.
    pub asked: Time,
    pub content: Content,
}

pub enum Content {
    Request(MemberRequest),
    Reply(MemberReply),
}

/// `Links` holds which VMs can reach each other, the store and the VM list.
pub struct Links {
    /// The side of the network partition on which each VM is.
    pub sides: Vec<u64>,
    /// Whether each VM reaches the store.
    pub store: Vec<bool>,
    /// Whether each VM reaches the VM list.
    pub list: Vec<bool>,
    /// One in this many messages is lost; 0 for none.
    pub loss: u64,
}

impl Links {
    pub fn new(count: usize) -> Self {
        Self { sides: vec![0; count], store: vec![true; count], list: vec![true; count], loss: 0 }
    }
}

impl World {
    pub fn send(&mut self, from: usize, to: VmId, request: MemberRequest) {
        let Some(to) = self.vms.iter().position(|vm| VmId::from_name(&vm.name) == to) else {
            return;
        };
        let asked = self.vms[from].local(self.now);
        self.post(Envelope {
            from,
            from_run: self.vms[from].run,
            to,
            run: self.vms[to].run,
            asked,
            content: Content::Request(request),
        });
    }

    pub fn message(&mut self, envelope: Envelope) {
        let entropy = self.rng.next_u64();
        let Envelope { from, from_run, to, run, asked, content } = envelope;
        let now = self.vms[to].local(self.now);
        let Some(node) = self.vms[to].node.as_mut() else { return };
        match content {
            Content::Request(request) => {
                let (reply, actions) = node.on_request(now, request, entropy);
                let content = Content::Reply(reply);
                self.post(Envelope {
                    from: to,
                    from_run: run,
                    to: from,
                    run: from_run,
                    asked,
                    content,
                });
                self.act(to, actions);
            }
            Content::Reply(reply) => {
                let actions = self.vms[to]
                    .node
                    .as_mut()
                    .map(|node| node.on_reply(now, asked, reply, entropy));
                self.act(to, actions.unwrap_or_default());
            }
        }
    }

    fn post(&mut self, envelope: Envelope) {
        let is_partitioned = self.links.sides[envelope.from] != self.links.sides[envelope.to];
        let is_lost = self.links.loss != 0 && self.draw(self.links.loss) == 0;
        if is_partitioned || is_lost {
            return;
        }
        // Some messages are delayed for long, as by a full buffer.
        let max = if self.draw(20) == 0 { 4_000 } else { 40 };
        self.after(1, max, Event::Message(envelope));
    }
}
