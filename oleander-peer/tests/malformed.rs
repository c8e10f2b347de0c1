//! Frames with arbitrary and damaged bytes: each is refused or read as one message.

use oleander_core::ids::VmId;
use oleander_core::ids::WorkspaceId;
use oleander_core::level::Horizon;
use oleander_core::level::Level;
use oleander_core::places::Regions;
use oleander_core::terms::LogPoint;
use oleander_core::terms::Position;
use oleander_core::terms::Term;
use oleander_core::time::Span;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;
use oleander_limits::messages::Ask;
use oleander_limits::messages::LimitRequest;
use oleander_limits::rates::tokens::Tokens;
use oleander_peer::codec;
use oleander_peer::codec::FrameBuffer;
use oleander_peer::codec::MAX_BODY_SIZE;
use oleander_peer::errors::Error;
use oleander_peer::messages::FollowReply;
use oleander_peer::messages::ProxyReport;
use oleander_peer::messages::Reply;
use oleander_peer::messages::Request;
use oleander_peer::messages::StoreCall;
use oleander_peer::messages::StoreChange;
use oleander_peer::messages::StoreContent;
use oleander_session::work::Freshness;
use oleander_session::work::HomeAnswer;
use oleander_session::work::HomeRequest;
use oleander_session::work::Scope;
use oleander_session::work::Work;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The size of a frame's header, in bytes.
const HEADER: usize = 5;

fn requests() -> Vec<Request> {
    let limit = Span::from_millis(700);
    let home = HomeRequest {
        statement: "a1".to_owned(),
        workspace: "rye".to_owned(),
        instance: "i-east".to_owned(),
        values: vec![("tone".to_owned(), "warm".to_owned())],
        work: Work::Write("loaf fresh".to_owned()),
        scope: Scope::First { read_only: false },
        freshness: Freshness::default(),
        limit,
        patience: limit,
        rest: limit,
        level: Level::FIRST,
        regions: Regions::default(),
        charge: None,
    };
    let ask = Ask::Borrow {
        need: Tokens::whole(2),
        urgent: Tokens::ZERO,
        stock: Tokens::whole(1),
        demand: Tokens::whole(40),
        settled: smallvec::SmallVec::new(),
    };
    let request = LimitRequest { workspace: WorkspaceId(3), ask };
    vec![
        Request::Home(Box::new(home)),
        Request::Limit { from: VmId(7), request },
        Request::Report(ProxyReport { open: 3, ..ProxyReport::default() }),
        Request::Follow { after: 70_000, wait: limit, whole: false },
        Request::Store(StoreCall::Read { key: "oleander/vm/vm-1".to_owned() }),
    ]
}

fn replies() -> Vec<Reply> {
    let point = Some(LogPoint { term: Term(3), position: Position(70_000) });
    let rows = vec!["one".to_owned(), String::new(), "three".to_owned()];
    let answer =
        HomeAnswer { rows, signature: "i-east.a1".to_owned(), point, ..Default::default() };
    let refusal = Refusal::not_run(RefusalCode::QueueFull, "home: the queue is full");
    let change = StoreChange {
        key: "servers/i-1".to_owned(),
        content: StoreContent::Value(b"{}".to_vec()),
        revision: 9,
    };
    let (revision, age, held) = (9, Span::from_millis(20), Span::ZERO);
    vec![
        Reply::Home(Ok(answer)),
        Reply::Home(Err(refusal.clone())),
        Reply::Refused(refusal, Horizon::OPEN),
        Reply::Events(vec!["{}".to_owned(); 3]),
        Reply::Followed(FollowReply { revision, age, held, changes: vec![change] }),
    ]
}

/// `Damage` replaces a part of the bytes.
#[derive(Clone, Debug)]
struct Damage {
    at: prop::sample::Index,
    length: usize,
    bytes: Vec<u8>,
}

fn damage() -> impl Strategy<Value = Damage> {
    // Bytes from 0xfb on announce numbers of two to sixteen bytes.
    let byte = prop_oneof![any::<u8>(), 0xfb..=0xff_u8];
    (any::<prop::sample::Index>(), 0..6_usize, prop::collection::vec(byte, 0..10))
        .prop_map(|(at, length, bytes)| Damage { at, length, bytes })
}

/// Returns the frame of a message with a damaged body, whose length is told as it is.
fn damaged(message: &impl Serialize, damages: &[Damage]) -> Vec<u8> {
    let mut body = codec::encode(message).unwrap()[HEADER..].to_vec();
    for Damage { at, length, bytes } in damages {
        let start = at.index(body.len() + 1);
        let end = (start + length).min(body.len());
        body.splice(start..end, bytes.iter().copied());
    }
    framed(&body)
}

fn framed(body: &[u8]) -> Vec<u8> {
    let mut frame = vec![codec::VERSION];
    frame.extend((body.len() as u32).to_be_bytes());
    frame.extend(body);
    frame
}

fn read<T: DeserializeOwned>(frame: &[u8]) -> Result<Option<T>, Error> {
    let mut buffer = FrameBuffer::default();
    buffer.extend(frame)?;
    let message = buffer.take()?;
    assert!(buffer.is_empty() || message.is_none(), "bytes are left behind the message");
    Ok(message)
}

/// Checks that bytes are refused with an error, or are one message that can be sent on.
fn check<T: DeserializeOwned + Serialize + PartialEq + std::fmt::Debug>(
    frame: &[u8],
) -> Result<(), TestCaseError> {
    match read::<T>(frame) {
        Err(Error::Decode(_)) => {}
        Ok(Some(message)) => {
            let sent = codec::encode(&message).unwrap();
            prop_assert_eq!(read::<T>(&sent), Ok(Some(message)));
        }
        other => prop_assert!(false, "{:?}", other),
    }
    Ok(())
}

/// Returns the configuration of the properties: `MALFORMED_CASES` and `MALFORMED_SEED` set more cases and
/// others for a long run by hand.
fn config() -> Config {
    let set = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    Config {
        rng_seed: RngSeed::Fixed(set("MALFORMED_SEED").unwrap_or(61)),
        cases: set("MALFORMED_CASES").map_or(4_000, |cases| cases as u32),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a damaged frame that ends the process or is read as more than one message.
    #[test]
    fn a_damaged_frame_is_refused_or_one_message(
        request in prop::sample::select(requests()),
        reply in prop::sample::select(replies()),
        damages in prop::collection::vec(damage(), 0..4),
    ) {
        check::<Request>(&damaged(&request, &damages))?;
        check::<Reply>(&damaged(&reply, &damages))?;
        // A VM may also get the one where it expects the other.
        check::<Reply>(&damaged(&request, &damages))?;
        check::<Request>(&damaged(&reply, &damages))?;
    }

    /// Guards against arbitrary bytes, with and without a header, that end the process.
    #[test]
    fn arbitrary_bytes_are_refused_or_one_message(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        check::<Request>(&framed(&bytes))?;
        check::<Reply>(&framed(&bytes))?;
        let _ = read::<Request>(&bytes);
        let _ = read::<Reply>(&bytes);
    }
}

/// Guards against a short frame that announces a long list and so takes memory for it. The process reads
/// many such frames, and its resident memory is looked at.
#[test]
fn announced_lengths_take_no_memory() {
    let before = resident();
    for kind in 0..40 {
        for length in [1_u64 << 20, 1 << 32, u64::MAX] {
            for nested in 0..3 {
                let mut body = vec![kind, 0, 0][..=nested].to_vec();
                body.push(0xfd);
                body.extend(length.to_le_bytes());
                assert!(matches!(read::<Request>(&framed(&body)), Err(Error::Decode(_)) | Ok(_)));
                assert!(matches!(read::<Reply>(&framed(&body)), Err(Error::Decode(_)) | Ok(_)));
            }
        }
    }
    let mut header = vec![codec::VERSION];
    header.extend((MAX_BODY_SIZE as u32 + 1).to_be_bytes());
    assert!(matches!(read::<Reply>(&header), Err(Error::Decode(_))));
    let growth = resident().saturating_sub(before);
    assert!(growth < MAX_BODY_SIZE, "{growth} bytes");
}

/// Returns the resident memory of this process in bytes.
fn resident() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    let kilobytes: usize = line.split_whitespace().next().unwrap().parse().unwrap();
    kilobytes << 10
}
