//! The homes of a database: which shares they follow, and in which order an entry VM tries them.

use oleander_core::hash;
use oleander_core::ids::DatabaseId;
use oleander_core::ids::ShareId;
use oleander_core::ids::VmId;
use oleander_core::places::Distance;
use oleander_core::time::Span;
use oleander_core::time::Time;
use smallvec::SmallVec;

/// The number of homes of a database.
pub const HOMES_PER_DATABASE: usize = 2;

/// Distinguishes the hash for home shares from other uses of a database's identifier.
const HOME_SALT: u64 = 0x686f_6d65;

/// The age at which a reported queue wait counts for half.
const WAIT_HALF_LIFE: Span = Span::from_millis(500);

/// The wait to record for a home that could not be reached or is draining.
///
/// It keeps the next requests away from the home until a heartbeat tells more,
/// and fades like any other wait, so that a home that came back is tried again.
pub const UNREACHABLE_WAIT: Span = Span::from_secs(5);

/// `HomeState` is what an entry VM knows of a home's VM; a smaller value is tried first.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum HomeState {
    /// The VM answers.
    Reachable,
    /// The VM has missed heartbeats or streams, which is no proof that it is down.
    Suspect,
    /// The VM is stopping and refuses new work.
    Leaving,
}

/// `Home` is one home of a database as an entry VM sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Home {
    /// The owner of the share.
    pub vm: VmId,
    /// What is known of the VM.
    pub state: HomeState,
    /// How far the VM is from here.
    pub distance: Distance,
    /// The last queue wait heard from the home; zero if none.
    pub wait: Span,
    /// The time at which it was heard.
    pub reported_at: Time,
}

/// `RoundTrips` are the round trips by distance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RoundTrips {
    /// The round trip inside an availability zone.
    pub zone: Span,
    /// The round trip between availability zones of a region.
    pub region: Span,
    /// The round trip between regions.
    pub remote: Span,
}

impl Default for RoundTrips {
    fn default() -> Self {
        Self {
            zone: Span::from_micros(500),
            region: Span::from_millis(3),
            remote: Span::from_millis(40),
        }
    }
}

impl RoundTrips {
    /// Gets the round trip over `distance`.
    pub fn over(&self, distance: Distance) -> Span {
        match distance {
            Distance::Zone => self.zone,
            Distance::Region => self.region,
            Distance::Remote => self.remote,
        }
    }
}

/// Gets the two shares whose owners are the homes of `database`, out of `count` shares.
///
/// The first is an even share, the second an odd one. They depend on nothing but
/// the identifier: if they followed the owners' zones, two VMs with different
/// views would name different homes and the slots would be used twice. Homes
/// stand apart as far as even and odd shares are handed out to different VMs and zones.
pub fn home_shares(database: DatabaseId, count: u16) -> [ShareId; HOMES_PER_DATABASE] {
    let pairs = u64::from(count / 2).max(1);
    let pick = |salt| (hash::combine(database.0, HOME_SALT + salt) % pairs) as u16;
    let first = ShareId(pick(0) * 2);
    let second = ShareId((pick(1) * 2 + 1).min(count.saturating_sub(1)));
    [first, second]
}

/// Orders the homes of a database for one request, the best first.
///
/// The nearest home comes first while queues are empty. With queues, the homes
/// are drawn by `draw`, a random number, in proportion to how much sooner each
/// would serve: entry VMs that heard the same waits do not all move at once.
/// A VM that is home for both shares comes once.
pub fn order(
    now: Time,
    homes: &[Home],
    round_trips: &RoundTrips,
    draw: u64,
) -> SmallVec<[VmId; HOMES_PER_DATABASE]> {
    let mut homes: SmallVec<[Home; HOMES_PER_DATABASE]> = SmallVec::from_slice(homes);
    homes.sort_by_key(|home| (home.state, cost(now, home, round_trips), home.vm));
    if let [first, second, ..] = homes.as_slice()
        && first.state == second.state
        && prefers_second(now, first, second, round_trips, draw)
    {
        homes.swap(0, 1);
    }
    let mut order: SmallVec<[VmId; HOMES_PER_DATABASE]> =
        homes.iter().map(|home| home.vm).collect();
    order.dedup();
    order
}

/// Gets the expected time until a request sent to `home` is answered, but for its own run.
fn cost(now: Time, home: &Home, round_trips: &RoundTrips) -> Span {
    round_trips.over(home.distance) + expected_wait(now, home)
}

/// Gets the last heard wait, trusted less the older it is.
fn expected_wait(now: Time, home: &Home) -> Span {
    let age = now.since(home.reported_at);
    let half = WAIT_HALF_LIFE.0;
    Span(
        (u128::from(home.wait.0) * u128::from(half) / u128::from(half.saturating_add(age.0)))
            as u64,
    )
}

/// Draws the dearer home with a chance that falls from one half to zero as the
/// difference in cost grows to the size of the waits.
fn prefers_second(
    now: Time,
    first: &Home,
    second: &Home,
    round_trips: &RoundTrips,
    draw: u64,
) -> bool {
    let band = expected_wait(now, first).max(expected_wait(now, second)).0;
    let gap = cost(now, second, round_trips).saturating_sub(cost(now, first, round_trips)).0;
    if band <= gap {
        return false;
    }
    // `draw` is uniform over twice the band; the second home has the part (band - gap).
    draw % band.saturating_mul(2) < band - gap
}
