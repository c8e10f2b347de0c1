//! Records and messages that VMs of this build and of the one before exchange while VMs are replaced
//! one after the other.

use oleander_core::ids::DatabaseId;
use oleander_core::places::Place;
use oleander_core::terms::LogPoint;
use oleander_core::terms::Position;
use oleander_core::terms::Term;
use oleander_core::time::Span;
use oleander_failover::keeper::RULES_VERSION;
use oleander_failover::keeper::messages::Liveness;
use oleander_membership::leased::LEASE_RULES;
use oleander_membership::leased::LeasedMember;
use oleander_node::control::apply::EraRecord;
use oleander_node::fleet::KeeperRecord;
use oleander_node::fleet::MemberRecord;
use oleander_peer::codec;
use oleander_peer::messages::Confirmations;
use oleander_peer::messages::Reply;
use oleander_peer::messages::Request;
use oleander_peer::messages::StoreCall;
use oleander_peer::messages::StoreFailure;
use oleander_peer::messages::StoreReply;
use rstest::rstest;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::json;

/// `EarlierKeeperRecord` is the keeper record as the build before reads and writes it.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
struct EarlierKeeperRecord {
    holder: Option<String>,
    duty: u64,
    primary: Option<String>,
    ordered: Option<String>,
    #[serde(default)]
    term: u64,
    #[serde(default)]
    era: u64,
    #[serde(default)]
    restored: bool,
}

/// `FormerMember` is a VM's record as the build before reads and writes it.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
struct FormerMember {
    #[serde(flatten)]
    earlier: EarlierMember,
    #[serde(default)]
    promotion: u32,
}

/// `EarlierMember` is a VM's record as builds without rules of promotion read and write it.
#[derive(Debug, Deserialize, PartialEq, Serialize)]
struct EarlierMember {
    name: String,
    place: Place,
    peers: std::net::SocketAddr,
    life: u64,
    #[serde(default)]
    cpu: u32,
    leaving: bool,
    lent: Option<Span>,
}

fn keeper_record() -> KeeperRecord {
    let member = MemberRecord {
        instance: "i-west".to_owned(),
        life: 1_000,
        address: "127.0.0.1:8040".parse().unwrap(),
        primary: false,
        leaving: true,
        liveness: Liveness::Gone,
        cover: Some(LogPoint { term: Term(2), position: Position(7) }),
    };
    KeeperRecord {
        holder: Some("vm-1".to_owned()),
        duty: 5,
        primary: None,
        ordered: Some("i-east".to_owned()),
        term: 2,
        era: 1,
        restored: false,
        members: Some(vec![member]),
        ordered_life: Some(1_000),
    }
}

fn leased_member() -> LeasedMember {
    LeasedMember {
        name: "vm-1".to_owned(),
        place: Place { region: "coast".to_owned(), zone: "east".to_owned() },
        peers: "127.0.0.1:7560".parse().unwrap(),
        life: 3,
        cpu: 250,
        leaving: false,
        promotion: RULES_VERSION,
        leases: LEASE_RULES,
        lent: None,
    }
}

/// Returns a value as a build reads it that decodes it as `T`, and writes it again.
fn rewritten<T: DeserializeOwned + Serialize>(value: &impl Serialize) -> Value {
    let text = serde_json::to_vec(value).unwrap();
    serde_json::to_value(serde_json::from_slice::<T>(&text).unwrap()).unwrap()
}

fn without(value: &impl Serialize, fields: &[&str]) -> Value {
    let mut value = serde_json::to_value(value).unwrap();
    for field in fields {
        value.as_object_mut().unwrap().remove(*field);
    }
    value
}

/// Guards against an upgrade in which VMs of the earlier build cannot read the records of this one,
/// or read something else.
#[test]
fn the_build_before_reads_the_records_of_this_one() {
    let record = keeper_record();
    let expected = without(&record, &["members", "ordered_life"]);
    assert_eq!(rewritten::<EarlierKeeperRecord>(&record), expected);
    let member = leased_member();
    assert_eq!(rewritten::<FormerMember>(&member), without(&member, &["leases"]));
    assert_eq!(rewritten::<EarlierMember>(&member), without(&member, &["promotion", "leases"]));
}

/// Guards against a VM that takes what an earlier build cannot tell for something that it told.
#[test]
fn this_build_reads_the_records_of_the_one_before() {
    let record = without(&keeper_record(), &["members", "ordered_life"]);
    let expected = KeeperRecord { members: None, ordered_life: None, ..keeper_record() };
    assert_eq!(serde_json::from_value::<KeeperRecord>(record).unwrap(), expected);
    let member = without(&leased_member(), &["leases"]);
    let expected = LeasedMember { leases: 0, ..leased_member() };
    assert_eq!(serde_json::from_value::<LeasedMember>(member).unwrap(), expected);
    let member = without(&leased_member(), &["promotion", "leases"]);
    let expected = LeasedMember { promotion: 0, ..expected };
    assert_eq!(serde_json::from_value::<LeasedMember>(member).unwrap(), expected);
}

/// Guards against fields that are spelled in another way by the next build.
#[test]
fn the_confirmed_era_is_written_as_documented() {
    assert_eq!(serde_json::to_value(EraRecord { era: 3 }).unwrap(), json!({ "era": 3 }));
}

/// Guards against fields that are spelled in another way by the next build.
#[test]
fn a_member_is_written_as_documented() {
    let record = serde_json::to_value(keeper_record()).unwrap();
    let expected = json!([{
        "instance": "i-west", "life": 1_000, "address": "127.0.0.1:8040", "primary": false,
        "leaving": true, "liveness": "gone", "cover": { "term": 2, "position": 7 },
    }]);
    assert_eq!(record["members"], expected);
}

/// Guards against a message that an earlier build reads as another one, since a new kind was put
/// before it. The bytes are those of the build before.
#[rstest]
#[case::withdrawn(&Request::Withdrawn { database: DatabaseId(7), revision: 9 }, WITHDRAWN)]
#[case::ready(&Request::Ready, READY)]
#[case::grant(&Request::Store(StoreCall::Grant { ttl: Span(9) }), &[5, 0, 0, 0, 3, 15, 0, 9])]
#[case::renew(&Request::Store(StoreCall::Renew { number: 3, era: 1 }), &[5, 0, 0, 0, 4, 15, 1, 6, 1])]
fn earlier_requests_keep_their_bytes(#[case] request: &Request, #[case] bytes: &[u8]) {
    assert_eq!(&codec::encode(request).unwrap()[..], bytes);
}

const WITHDRAWN: &[u8] = &[5, 0, 0, 0, 3, 4, 7, 9];
const READY: &[u8] = &[5, 0, 0, 0, 1, 5];

#[rstest]
#[case::accepted(&Reply::Accepted, &[5, 0, 0, 0, 1, 11])]
#[case::unsupported(&Reply::Unsupported, &[5, 0, 0, 0, 1, 12])]
#[case::granted(&Reply::Store(StoreReply::Granted { number: 3, era: 1 }), &[5, 0, 0, 0, 4, 14, 1, 6, 1])]
#[case::failed(&Reply::Store(StoreReply::Failed(StoreFailure::Refused)), &[5, 0, 0, 0, 3, 14, 5, 3])]
fn earlier_replies_keep_their_bytes(#[case] reply: &Reply, #[case] bytes: &[u8]) {
    assert_eq!(&codec::encode(reply).unwrap()[..], bytes);
}

/// The kinds that are new in this build, which are sent only to VMs whose record tells that they know
/// them.
#[test]
fn new_messages_come_after_the_earlier_ones() {
    let request = Request::Withdraw { database: DatabaseId(7), revision: 9 };
    assert_eq!(&codec::encode(&request).unwrap()[..], [5, 0, 0, 0, 3, 16, 7, 9]);
    let reply = Reply::Withdrawn(Confirmations { life: 3, first: true, point: None });
    assert_eq!(&codec::encode(&reply).unwrap()[..], [5, 0, 0, 0, 4, 17, 3, 1, 0]);
    let call = Request::Store(StoreCall::GrantLease { ttl: Span(9) });
    assert_eq!(&codec::encode(&call).unwrap()[..], [5, 0, 0, 0, 3, 15, 5, 9]);
    let call = Request::Store(StoreCall::RenewLease { number: 3, era: 1 });
    assert_eq!(&codec::encode(&call).unwrap()[..], [5, 0, 0, 0, 4, 15, 6, 6, 1]);
    let reply = Reply::Store(StoreReply::Leased { number: 3, era: 1, ttl: Span(9) });
    assert_eq!(&codec::encode(&reply).unwrap()[..], [5, 0, 0, 0, 5, 14, 6, 6, 1, 9]);
    let reply = Reply::Store(StoreReply::Renewed { ttl: None });
    assert_eq!(&codec::encode(&reply).unwrap()[..], [5, 0, 0, 0, 3, 14, 7, 0]);
}
