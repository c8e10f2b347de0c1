//! Probes of the decisions for one request at the entry VM and the home: admission, session token
//! and choice of an instance.

use std::hint::black_box;

use oleander_config::keys::hash_key;
use oleander_config::model::Matcher;
use oleander_config::sections::parse_sections;
use oleander_config::snapshot::Snapshot;
use oleander_core::ids::DatabaseId;
use oleander_core::ids::InstanceId;
use oleander_core::ids::Revision;
use oleander_core::ids::WorkspaceId;
use oleander_core::places::Distance;
use oleander_core::terms::InstanceStatus;
use oleander_core::terms::LogPoint;
use oleander_core::terms::Position;
use oleander_core::terms::Role;
use oleander_core::terms::Term;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_routing::admit;
use oleander_routing::admit::Currency;
use oleander_routing::lag::Lag;
use oleander_routing::reads;
use oleander_routing::reads::Candidate;
use oleander_routing::reads::CandidateState;
use oleander_routing::reads::Group;
use oleander_routing::reads::Options;
use oleander_routing::reads::ReadNeed;
use oleander_routing::samples::Sample;
use oleander_routing::samples::Samples;
use oleander_routing::samples::StatusAt;
use oleander_session::codec;
use oleander_session::token::SeenPoint;
use oleander_session::token::Token;

use crate::capacity::configuration;
use crate::capacity::line::Axis;
use crate::capacity::line::Series;
use crate::capacity::measure::nanos_per_call;

/// The measured numbers of databases in the configuration.
const DATABASE_COUNTS: [u16; 3] = [60, 120, 240];

/// The measured numbers of databases that a session has seen.
const MARK_COUNTS: [u16; 3] = [1, 2, 4];

/// The measured numbers of instances of a database.
const INSTANCE_COUNTS: [u8; 3] = [3, 5, 7];

/// The number of calls of a timed run.
const TIMED_CALLS: u32 = 20_000;

/// The time at which instances are chosen.
const NOW: Time = Time(1_000_000_000);

/// The series of the time to look up the key and the route of a request.
pub const ADMIT: &str = "entry: key and route of a request, us";
/// The series of the time to decode and encode a token.
pub const TOKEN_TIME: &str = "entry: read and write a token, us";
/// The series of the size of a token.
pub const TOKEN_BYTES: &str = "entry: bytes of a token";
/// The series of the time to choose an instance.
pub const CHOICE: &str = "home: choice of an instance, us";

/// Measures the decisions for a request at several sizes.
pub fn measure() -> Vec<Series> {
    let mut admission = Series::new(ADMIT, Axis::Databases);
    for size in DATABASE_COUNTS {
        admission.push(size, admit_nanos(size) / 1_000.0);
    }
    let mut time = Series::new(TOKEN_TIME, Axis::Marks);
    let mut bytes = Series::new(TOKEN_BYTES, Axis::Marks);
    for size in MARK_COUNTS {
        let token = token(size);
        let text = codec::encode(&token).unwrap_or_default();
        time.push(size, token_nanos(&text) / 1_000.0);
        bytes.push(size, text.len() as f64);
    }
    let mut choice = Series::new(CHOICE, Axis::Instances);
    for size in INSTANCE_COUNTS {
        choice.push(size, choice_nanos(size) / 1_000.0);
    }
    vec![admission, time, bytes, choice]
}

fn admit_nanos(databases: u16) -> f64 {
    let texts = configuration::document(usize::from(databases));
    let document = parse_sections(&texts).expect("the document is made to be valid");
    let snapshot = Snapshot::new(Revision(1), document);
    let matchers: Vec<Matcher> =
        (0..databases).map(|i| Matcher::Class(format!("class-{i}"))).collect();
    nanos_per_call(TIMED_CALLS, |turn| {
        let key = hash_key(&format!("key {}", turn % u32::from(databases)));
        let matcher = &matchers[turn as usize % matchers.len()];
        let admitted = admit::admit(&snapshot, Currency::Current, matcher, Some(&key));
        black_box(admitted.is_ok());
    })
}

fn token(marks: u16) -> Token {
    let mut token = Token::new(WorkspaceId(7));
    for i in 0..marks {
        let point = LogPoint { term: Term(3), position: Position(1 << 33) };
        let database = DatabaseId::from_name(&format!("database-{i}"));
        token.observe(database, SeenPoint { point, durable: true }).expect("the token has room");
    }
    token
}

fn token_nanos(text: &str) -> f64 {
    nanos_per_call(TIMED_CALLS, |_| {
        let token = codec::decode(text).expect("the token is valid");
        black_box(codec::encode(&token).map(|text| text.len()).unwrap_or_default());
    })
}

fn choice_nanos(instances: u8) -> f64 {
    let database = DatabaseId(1);
    let status = |ordinal: u8| InstanceStatus {
        role: if ordinal == 0 { Role::Primary } else { Role::Replica },
        point: LogPoint { term: Term(1), position: Position(10_000 - u64::from(ordinal)) },
        fence: Term(1),
        start: Position(0),
    };
    let candidate = |ordinal: u8| Candidate {
        instance: InstanceId { database, ordinal },
        distance: Distance::Region,
        state: CandidateState::Ready,
        status: Some(StatusAt { status: status(ordinal), requested_at: NOW }),
        lag: Lag::default(),
        wait: Span::from_millis(1),
        service: Span::from_millis(1),
    };
    let candidates: Vec<Candidate> = (0..instances).map(candidate).collect();
    let mut progress = Samples::default();
    for i in 0..100_u64 {
        let point = LogPoint { term: Term(1), position: Position(9_900 + i) };
        progress.push(Sample { time: Time(NOW.0 - (100 - i) * 10_000), point });
    }
    let group = Group { candidates: &candidates, progress: &progress, confirmed: &progress };
    let seen =
        [SeenPoint { point: LogPoint { term: Term(1), position: Position(9_990) }, durable: true }];
    let need = ReadNeed { seen: &seen, max_age: None, deadline: NOW + Span::from_secs(1) };
    nanos_per_call(TIMED_CALLS, |_| {
        black_box(reads::choose(NOW, &need, &group, &Options::default()));
    })
}
