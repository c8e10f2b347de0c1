//! Load: a replica gets reads with a maximum age while nobody tells the position of the primary,
//! since the keeper of the database has just died or the whole fleet is starting.

#[path = "support/record.rs"]
mod record;
mod support;

use std::sync::Arc;

use oleander_core::ids::DatabaseId;
use oleander_core::ids::InstanceKey;
use oleander_core::terms::LogPoint;
use oleander_core::terms::Position;
use oleander_core::terms::Term;
use oleander_core::time::Span;
use oleander_node::fleet::Fleet;
use oleander_node::primaries::Primaries;
use oleander_ports::store::StoreRevision;
use oleander_runtime::clock::Clock;
use oleander_runtime::timer::TimerService;
use record::set_primary;
use rstest::rstest;

const DATABASE: DatabaseId = DatabaseId(1);
const PRIMARY: InstanceKey = InstanceKey(1);

/// The maximum age that the reads accept.
const AGE: Span = Span::from_millis(1_500);

const POINT: LogPoint = LogPoint { term: Term(3), position: Position(7) };

fn primaries(recorded: Option<InstanceKey>) -> (Arc<Primaries>, TimerService) {
    let timers = TimerService::start(Clock::new());
    let fleet = Arc::new(Fleet::new(Arc::new(support::settings()), timers.clone()));
    set_primary(&fleet, recorded);
    fleet.mark_synced(timers.now());
    fleet.set_leased_until(timers.now() + Span::from_secs(60));
    fleet.set_join_revision(StoreRevision(1));
    (Arc::new(Primaries::new(fleet)), timers)
}

/// `AnswerCase` describes an answer that passes through a home.
struct AnswerCase {
    /// The instance that the record names as primary when the answer arrives.
    recorded: Option<InstanceKey>,
    /// The time from the answer to the read.
    waited: Span,
    floor: Option<LogPoint>,
}

/// Guards against sending all reads to the primary while the keeper is silent, and against taking
/// the position of a replaced primary, which lacks the commits of its successor.
#[rstest]
#[case::of_the_primary(AnswerCase { recorded: Some(PRIMARY), waited: Span::ZERO, floor: Some(POINT) })]
#[case::too_old(AnswerCase { recorded: Some(PRIMARY), waited: AGE, floor: None })]
#[case::of_a_replaced_primary(AnswerCase {
    recorded: Some(InstanceKey(2)), waited: Span::ZERO, floor: None,
})]
#[case::during_a_promotion(AnswerCase { recorded: None, waited: Span::ZERO, floor: None })]
#[tokio::test]
async fn an_answer_of_the_primary_tells_its_position(#[case] case: AnswerCase) {
    let (primaries, timers) = primaries(case.recorded);
    primaries.record_answer(DATABASE, PRIMARY, timers.now(), POINT);
    timers.sleep(case.waited).await;
    assert_eq!(primaries.floor(DATABASE, AGE), case.floor);
}

/// Guards against refusing reads at a replica that will know the position within a round trip.
#[rstest]
#[case::told_meanwhile(true)]
#[case::not_told(false)]
#[tokio::test]
async fn a_read_waits_a_moment_for_the_position(#[case] told: bool) {
    let (primaries, timers) = primaries(Some(PRIMARY));
    let teller = primaries.clone();
    tokio::spawn(async move {
        timers.sleep(Span::from_millis(20)).await;
        if told {
            teller.record_answer(DATABASE, PRIMARY, timers.now(), POINT);
        }
    });
    let limit = if told { Span::from_secs(10) } else { Span::from_millis(40) };
    let floor = primaries.floor_within(DATABASE, AGE, limit).await;
    assert_eq!(floor, told.then_some(POINT));
}
