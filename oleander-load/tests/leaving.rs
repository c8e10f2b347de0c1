//! Reads on a running fleet must not reach a replica that is marked as leaving.

use std::net::SocketAddr;

use oleander_core::ids::Revision;
use oleander_core::time::Span;
use oleander_load::cluster::fleet::Fleet;
use oleander_load::cluster::fleet::FleetOptions;
use oleander_load::cluster::profile::Profile;
use oleander_load::cluster::profile::User;
use oleander_load::drive::client::CallContext;
use oleander_load::drive::client::Client;

const VM_COUNT: usize = 2;
const READ_COUNT: usize = 30;
/// The maximum number of polls for the revision at all VMs.
const MAX_POLLS: usize = 400;
/// The interval between polls.
const POLL_INTERVAL: std::time::Duration = std::time::Duration::from_millis(50);

#[tokio::test(flavor = "multi_thread")]
async fn leaving_replica_gets_no_reads_once_the_edit_is_in_force() {
    let profile = Profile { vms: VM_COUNT, ..Profile::of(User::Magnolia) };
    let fleet = Fleet::start(profile, FleetOptions::default()).await.expect("the fleet comes up");
    let primary = fleet.groups[0].primary().expect("a primary");
    let leaving = (primary + 1) % 3;

    let addresses: Vec<Vec<SocketAddr>> =
        fleet.groups.iter().map(|group| group.addresses()).collect();
    let address = format!("address: \"{}\",", addresses[0][leaving]);
    let section = fleet.profile.upstreams_section(&addresses);
    let section = section.replace(&address, &format!("{address} leaving: true,"));
    let revision = fleet.publish("upstreams", section).await.expect("the edit is accepted");
    wait_in_force(&fleet, Revision(revision)).await;

    let before = fleet.groups[0].counters(leaving).statements;
    let client = Client::new(Span::from_secs(10)).expect("a client");
    let key = fleet.profile.api_key("rye");
    for number in 0..READ_COUNT {
        let proxy = fleet.endpoints.pick(number).expect("a VM").address;
        let context = CallContext { proxy, api_key: &key, session: None };
        // A request may be refused as over the rate, which is irrelevant here.
        let _ = client.read(context, "orders.read", "loaf").await;
    }
    let others: u64 =
        (0..3).filter(|at| *at != leaving).map(|at| fleet.groups[0].counters(at).statements).sum();
    assert!(0 < others, "no read was served at all");
    assert_eq!(fleet.groups[0].counters(leaving).statements, before);
}

async fn wait_in_force(fleet: &Fleet, revision: Revision) {
    for _ in 0..MAX_POLLS {
        let mut nodes = fleet.nodes.iter().flatten();
        if nodes.all(|node| revision <= node.proxy().fleet().snapshot.revision) {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("the edit did not come into force");
}
