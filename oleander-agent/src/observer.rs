//! Detection of changes of the fleet, reported as log events.

use std::collections::BTreeMap;

use oleander_core::events::Event;
use oleander_core::ids::VmId;
use oleander_core::time::Time;
use oleander_membership::member::Member;
use oleander_membership::member::MemberState;
use oleander_membership::node::Node;
use oleander_membership::shares::ShareMap;
use oleander_runtime::logs::Field;

/// `Observation` is a detected change, ready to be logged.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// The event to record.
    pub event: Event,
    /// The fields of the event.
    pub fields: Vec<Field>,
}

/// `Observer` holds the state of the fleet at the last call of `Observer::observe`.
#[derive(Clone, Debug, Default)]
pub struct Observer {
    members: BTreeMap<VmId, Member>,
    shares: ShareMap,
    current: bool,
    usable: bool,
}

impl Observer {
    /// Returns the differences between the fleet and its state at the previous call.
    pub fn observe(&mut self, node: &Node, now: Time) -> Vec<Observation> {
        let mut found = Vec::new();
        self.observe_members(node, now, &mut found);
        self.observe_shares(node, &mut found);
        let current = now < node.current_until(now);
        if current != self.current {
            self.current = current;
            let event = if current { Event::CurrencyRegained } else { Event::CurrencyLost };
            let revision = Field::number("revision", node.config().revision().0);
            found.push(Observation { event, fields: vec![revision] });
        }
        let usable = now < node.shares_until(now);
        if self.usable && !usable {
            found.push(Observation { event: Event::SharesSuspended, fields: Vec::new() });
        }
        self.usable = usable;
        found
    }

    fn observe_members(&mut self, node: &Node, now: Time, found: &mut Vec<Observation>) {
        let present: BTreeMap<VmId, Member> =
            node.members(now).into_iter().map(|member| (member.vm, member)).collect();
        for (vm, member) in &present {
            let former = self.members.get(vm);
            if former.is_none_or(|former| former.incarnation != member.incarnation) {
                found.push(member_event(Event::VmJoined, member));
            }
            let was_suspect = former.is_some_and(|former| former.state == MemberState::Suspect);
            if member.state == MemberState::Suspect && !was_suspect {
                found.push(member_event(Event::PeerSuspected, member));
            }
        }
        let left = self.members.iter().filter(|(vm, _)| !present.contains_key(vm));
        found.extend(left.map(|(_, member)| member_event(Event::VmLeft, member)));
        self.members = present;
    }

    fn observe_shares(&mut self, node: &Node, found: &mut Vec<Observation>) {
        let map = node.shares();
        if map.version == self.shares.version {
            return;
        }
        for (share, owner) in map.owners.iter().enumerate() {
            let former = self.shares.owners.get(share).copied().flatten();
            if *owner == former {
                continue;
            }
            let fields = vec![
                Field::number("share", share as u64),
                Field::text(
                    "from",
                    former.map_or_else(|| "nobody".to_owned(), |owner| name(node, owner.vm)),
                ),
                Field::text(
                    "to",
                    owner.map_or_else(|| "nobody".to_owned(), |owner| name(node, owner.vm)),
                ),
                Field::number("version", map.version),
            ];
            found.push(Observation { event: Event::ShareMoved, fields });
        }
        self.shares = map.clone();
    }
}

fn member_event(event: Event, member: &Member) -> Observation {
    let fields = vec![
        Field::text("vm", &member.name),
        Field::number("incarnation", member.incarnation.0),
        Field::text("zone", &member.place.zone),
    ];
    Observation { event, fields }
}

fn name(node: &Node, vm: VmId) -> String {
    node.roster().member(vm).map_or_else(|| vm.to_string(), |member| member.name.clone())
}
