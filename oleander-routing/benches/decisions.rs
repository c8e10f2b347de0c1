//! Benchmarks of the decisions on a request, at the current and at the target size of the fleet.

use divan::Bencher;
use oleander_config::model::Acknowledge;
use oleander_config::model::Audience;
use oleander_config::model::Consistency;
use oleander_config::model::Database;
use oleander_config::model::Document;
use oleander_config::model::Key;
use oleander_config::model::KeyHash;
use oleander_config::model::Matcher;
use oleander_config::model::Route;
use oleander_config::model::Workspace;
use oleander_config::snapshot::Snapshot;
use oleander_core::hash;
use oleander_core::ids::DatabaseId;
use oleander_core::ids::InstanceId;
use oleander_core::ids::Revision;
use oleander_core::ids::VmId;
use oleander_core::ids::WorkspaceId;
use oleander_core::places::Distance;
use oleander_core::statement::Access;
use oleander_core::terms::InstanceStatus;
use oleander_core::terms::LogPoint;
use oleander_core::terms::Position;
use oleander_core::terms::Role;
use oleander_core::terms::Term;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_routing::admit;
use oleander_routing::admit::Currency;
use oleander_routing::group_view::GroupView;
use oleander_routing::group_view::Load;
use oleander_routing::homes;
use oleander_routing::homes::HOMES_PER_DATABASE;
use oleander_routing::homes::Home;
use oleander_routing::homes::HomeState;
use oleander_routing::homes::RoundTrips;
use oleander_routing::reads::Choice;
use oleander_routing::reads::Options;
use oleander_routing::reads::ReadNeed;
use oleander_routing::samples::StatusAt;
use oleander_session::codec;
use oleander_session::token::SeenPoint;
use oleander_session::token::Token;
use std::collections::HashMap;

fn main() {
    divan::main();
}

/// The number of shares at both sizes.
const SHARES: u16 = 4096;
/// The time of all decisions.
const NOW: Time = Time(60_000_000);

/// `Size` is the size of the fleet and of its configuration.
#[derive(Clone, Copy, Debug)]
struct Size {
    vms: u64,
    databases: usize,
    workspaces: usize,
}

const SIZES: [Size; 2] = [
    Size { vms: 9, databases: 3, workspaces: 8 },
    Size { vms: 420, databases: 670, workspaces: 5_000 },
];

impl std::fmt::Display for Size {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} VMs", self.vms)
    }
}

/// `Fleet` is the state of an entry VM and of a home.
struct Fleet {
    snapshot: Snapshot,
    owners: Vec<VmId>,
    vms: HashMap<VmId, Home>,
    groups: HashMap<DatabaseId, GroupView>,
}

/// `IncomingRequest` is a request as received by an entry VM.
struct IncomingRequest {
    matcher: Matcher,
    key: KeyHash,
    token: String,
}

#[divan::bench(args = SIZES, sample_count = 200, sample_size = 2_000)]
fn admission(bencher: Bencher<'_, '_>, size: Size) {
    let (fleet, requests) = (Fleet::new(size), requests(size));
    let mut at = 0;
    bencher.bench_local(|| {
        let request = next(&requests, &mut at);
        admit::admit(&fleet.snapshot, Currency::Current, &request.matcher, Some(&request.key))
            .is_ok()
    });
}

#[divan::bench(args = SIZES, sample_count = 200, sample_size = 2_000)]
fn home_order(bencher: Bencher<'_, '_>, size: Size) {
    let fleet = Fleet::new(size);
    let mut random = 0;
    bencher.bench_local(|| {
        random = hash::mix(random + 1);
        fleet.home(DatabaseId(random), random)
    });
}

#[divan::bench(args = SIZES, sample_count = 200, sample_size = 2_000)]
fn read_choice(bencher: Bencher<'_, '_>, size: Size) {
    let fleet = Fleet::new(size);
    let ids: Vec<DatabaseId> = fleet.groups.keys().copied().collect();
    let mut at = 0;
    bencher.bench_local(|| {
        at += 1;
        fleet.read(ids[at % ids.len()], &[seen(900)])
    });
}

/// Token in, admission, home, recheck at the home, instance, answer check, token out.
#[divan::bench(args = SIZES, sample_count = 200, sample_size = 2_000)]
fn whole_decision(bencher: Bencher<'_, '_>, size: Size) {
    let (fleet, requests) = (Fleet::new(size), requests(size));
    let mut at = 0;
    bencher.bench_local(|| fleet.decide(next(&requests, &mut at)));
}

impl Fleet {
    fn new(size: Size) -> Self {
        let vms: Vec<VmId> = (0..size.vms).map(|vm| VmId(hash::mix(vm + 1))).collect();
        let groups = (0..size.databases).map(|at| {
            let id = DatabaseId::from_name(&format!("database-{at}"));
            (id, group_view(id))
        });
        Self {
            snapshot: Snapshot::new(Revision(1), document(size)),
            owners: (0..SHARES).map(|share| vms[usize::from(share) % vms.len()]).collect(),
            vms: vms.iter().map(|vm| (*vm, home(*vm))).collect(),
            groups: groups.collect(),
        }
    }

    fn home(&self, database: DatabaseId, random: u64) -> VmId {
        let shares = homes::home_shares(database, SHARES);
        let homes: [Home; HOMES_PER_DATABASE] =
            shares.map(|share| self.vms[&self.owners[usize::from(share.0)]]);
        homes::order(NOW, &homes, &RoundTrips::default(), random)[0]
    }

    fn read(&self, database: DatabaseId, seen: &[SeenPoint]) -> Choice {
        let need = ReadNeed { seen, max_age: None, deadline: NOW + Span::from_secs(1) };
        let load = |_| Load { wait: Span::from_millis(1) };
        self.groups[&database].choose(NOW, &need, load, &[], &Options::default())
    }

    fn decide(&self, request: &IncomingRequest) -> Option<String> {
        let key = Some(&request.key);
        let current = Currency::Current;
        let admitted = admit::admit(&self.snapshot, current, &request.matcher, key).ok()?;
        let workspace = admitted.workspace;
        let mut token = codec::decode_all(workspace, [request.token.as_str()]).ok()?;
        divan::black_box(self.home(admitted.database, workspace.0));
        admit::recheck(&self.snapshot, current, workspace, key).ok()?;
        let seen = token.seen(admitted.database);
        let Choice::Run(instance) = self.read(admitted.database, &seen) else { return None };
        let group = &self.groups[&admitted.database];
        let (_, last) = group.statuses().find(|(one, _)| *one == instance)?;
        let need = ReadNeed { seen: &seen, max_age: None, deadline: NOW + Span::from_secs(1) };
        divan::black_box(group.check_answer(NOW, &last.status, &need));
        let point = group.seen_point(instance, &last.status);
        token.observe(admitted.database, point).ok()?;
        codec::encode(&token).ok()
    }
}

fn next<'a>(requests: &'a [IncomingRequest], at: &mut usize) -> &'a IncomingRequest {
    *at += 1;
    &requests[*at % requests.len()]
}

/// Returns requests in pseudo-random order over all workspaces and databases.
fn requests(size: Size) -> Vec<IncomingRequest> {
    let request = |at: usize| {
        let at = hash::mix(at as u64) as usize;
        let workspace = at % size.workspaces;
        let database = at / size.workspaces % size.databases;
        let mut token = Token::new(WorkspaceId::from_name(&format!("workspace-{workspace}")));
        let id = DatabaseId::from_name(&format!("database-{database}"));
        token.observe(id, seen(900)).unwrap();
        IncomingRequest {
            matcher: Matcher::Class(format!("class-{database}")),
            key: key(workspace),
            token: codec::encode(&token).unwrap(),
        }
    };
    (0..10_000).map(request).collect()
}

fn document(size: Size) -> Document {
    let workspaces = (0..size.workspaces).map(|at| Workspace {
        name: format!("workspace-{at}"),
        keys: vec![Key { name: "main".to_owned(), hash: key(at) }],
        weight: 1,
        kinds: Vec::new(),
        priority: 0,
        regions: Vec::new(),
    });
    let upstreams = (0..size.databases).map(|at| Database {
        name: format!("database-{at}"),
        acknowledge: Acknowledge::Replicated,
        slots: 2,
        connections: 16,
        leaving: false,
        instances: Vec::new(),
        warmup: None,
    });
    let routes = (0..size.databases).map(|at| Route {
        name: format!("route-{at}"),
        matcher: Matcher::Class(format!("class-{at}")),
        database: format!("database-{at}"),
        access: Access::Read,
        kind: "order".to_owned(),
        audience: Audience::Keyed,
        max_age: None,
        deadline: Span::from_secs(1),
        cost: 1,
        consistency: Consistency::Session,
        target_latency: Span::from_secs(1),
        priority: 0,
        regions: Vec::new(),
    });
    Document {
        workspaces: workspaces.collect(),
        upstreams: upstreams.collect(),
        routes: routes.collect(),
        ..Document::default()
    }
}

fn key(workspace: usize) -> KeyHash {
    let word = hash::mix(workspace as u64 + 1).to_le_bytes();
    let mut bytes = [0; 32];
    bytes.chunks_mut(8).for_each(|chunk| chunk.copy_from_slice(&word));
    KeyHash(bytes)
}

fn home(vm: VmId) -> Home {
    let distance = if vm.0.is_multiple_of(2) { Distance::Zone } else { Distance::Region };
    let wait = Span(vm.0 % 5_000);
    Home { vm, state: HomeState::Reachable, distance, wait, reported_at: NOW }
}

/// Returns a home's view of a group after a minute of pings.
fn group_view(database: DatabaseId) -> GroupView {
    let instances = [0, 1, 2].map(|ordinal| InstanceId { database, ordinal });
    let mut group_view = GroupView::new(instances.map(|id| (id, Distance::Region)));
    for at in 0..300 {
        let requested_at = Time(at * 200_000);
        for instance in instances {
            let lag = u64::from(instance.ordinal) * 2;
            let role = if instance.ordinal == 0 { Role::Primary } else { Role::Replica };
            let status = status(role, 1 + (at * 10).saturating_sub(lag));
            group_view.record_status(instance, StatusAt { status, requested_at });
        }
    }
    group_view
}

fn status(role: Role, position: u64) -> InstanceStatus {
    InstanceStatus { role, point: point(position), fence: Term(1), start: Position(0) }
}

fn seen(position: u64) -> SeenPoint {
    SeenPoint { point: point(position), durable: true }
}

fn point(position: u64) -> LogPoint {
    LogPoint { term: Term(1), position: Position(position) }
}
