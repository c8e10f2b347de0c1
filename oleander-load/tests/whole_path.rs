//! The whole request path over real sockets: client, proxies, agents and stand-ins.

use oleander_core::time::Span;
use oleander_load::cluster::fleet::Fleet;
use oleander_load::cluster::fleet::FleetOptions;
use oleander_load::cluster::profile::Profile;
use oleander_load::cluster::profile::User;
use oleander_load::drive::client::CallContext;
use oleander_load::drive::client::Client;

#[tokio::test(flavor = "multi_thread")]
async fn write_is_read_back_through_every_vm() {
    let mut profile = Profile::of(User::Magnolia);
    profile.vms = 3;
    let fleet = Fleet::start(profile, FleetOptions::default()).await.expect("the fleet comes up");
    let client = Client::new(Span::from_secs(10)).expect("a client");
    let key = fleet.profile.api_key("rye");
    let context = |number| {
        let proxy = fleet.endpoints.pick(number).expect("a VM").address;
        CallContext { proxy, api_key: &key, session: Some(1) }
    };
    client
        .write(context(0), "orders.write", "loaf", "dark")
        .await
        .expect("the write is acknowledged");
    for number in 0..3 {
        let answer = client
            .read(context(number), "orders.read", "loaf")
            .await
            .expect("the read is answered");
        assert_eq!(answer.values(), ["dark"]);
    }
}
