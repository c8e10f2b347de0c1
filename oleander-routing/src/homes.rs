//! The homes of a database: the shares that determine them and the order in which they are tried.
//!
//! A share is one of a fixed number of hash slots, each owned by one VM. The owners of a database's
//! two shares are its homes, which queue and run its requests.

use oleander_core::hash;
use oleander_core::ids::DatabaseId;
use oleander_core::ids::ShareId;
use oleander_core::ids::VmId;
use oleander_core::places::Distance;
use oleander_core::time::Span;
use oleander_core::time::Time;
use smallvec::SmallVec;

/// The number of homes of a database; they split its slots on each instance.
pub const HOMES_PER_DATABASE: usize = 2;

/// Separates the hashes for home shares from other hashes of a database identifier; ASCII "home".
const HOME_SALT: u64 = 0x686f_6d65;

/// The age at which a reported queue wait is weighted by one half.
const WAIT_HALF_LIFE: Span = Span::from_millis(500);

/// The queue wait to record for a home that could not be reached or is draining.
///
/// It keeps further requests away until the next heartbeat updates the home's state. It decays
/// like any reported wait, so a recovered home is tried again.
pub const UNREACHABLE_WAIT: Span = Span::from_secs(5);

/// `HomeState` is the state of a home's VM as seen by an entry VM; lower states are tried first.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum HomeState {
    /// The VM responds.
    Reachable,
    /// The VM has missed heartbeats or streams failed; it is not necessarily down.
    Suspect,
    /// The VM is shutting down and refuses new work.
    Leaving,
}

/// `Home` is one home of a database as an entry VM sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Home {
    /// The VM that owns the share.
    pub vm: VmId,
    /// The state of the VM.
    pub state: HomeState,
    /// The distance between the entry VM and the home.
    pub distance: Distance,
    /// The queue wait that the home last reported; zero if it has reported none.
    pub wait: Span,
    /// The time at which `wait` was reported.
    pub reported_at: Time,
}

/// `RoundTrips` holds the expected network round-trip time for each distance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RoundTrips {
    /// The round-trip time within an availability zone.
    pub zone: Span,
    /// The round-trip time between availability zones of a region.
    pub region: Span,
    /// The round-trip time between regions.
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
    /// Returns the round-trip time over `distance`.
    pub fn over(&self, distance: Distance) -> Span {
        match distance {
            Distance::Zone => self.zone,
            Distance::Region => self.region,
            Distance::Remote => self.remote,
        }
    }
}

/// Returns the two shares, out of `count`, whose owners are the homes of `database`.
///
/// The first share is even and the second is odd. They depend only on the identifier and the
/// count: if they depended on the owners' zones, two VMs with different cluster views would pick
/// different homes and the slots would be used twice. The homes are on different VMs and zones
/// to the extent that even and odd shares are assigned to different ones.
pub fn home_shares(database: DatabaseId, count: u16) -> [ShareId; HOMES_PER_DATABASE] {
    let pairs = u64::from(count / 2).max(1);
    let pick = |salt| (hash::combine(database.0, HOME_SALT + salt) % pairs) as u16;
    let first = ShareId(pick(0) * 2);
    let second = ShareId((pick(1) * 2 + 1).min(count.saturating_sub(1)));
    [first, second]
}

/// Orders the homes of a database for one request, the best first.
///
/// A home with a lower `HomeState` always comes first. Between equal states, the nearest home comes
/// first while the queues are empty. Otherwise the first home is drawn with `random`, a uniform
/// random number, and the cheaper home is the more likely the larger the difference in cost: entry
/// VMs that received the same waits must not all switch homes at once. A VM that owns both shares
/// is returned once.
pub fn order(
    now: Time,
    homes: &[Home],
    round_trips: &RoundTrips,
    random: u64,
) -> SmallVec<[VmId; HOMES_PER_DATABASE]> {
    let mut homes: SmallVec<[Home; HOMES_PER_DATABASE]> = SmallVec::from_slice(homes);
    homes.sort_by_key(|home| (home.state, cost(now, home, round_trips), home.vm));
    if let [first, second, ..] = homes.as_slice()
        && first.state == second.state
        && prefers_second(now, first, second, round_trips, random)
    {
        homes.swap(0, 1);
    }
    let mut order: SmallVec<[VmId; HOMES_PER_DATABASE]> =
        homes.iter().map(|home| home.vm).collect();
    order.dedup();
    order
}

/// Returns the expected time until `home` answers a request, without the time that it executes.
fn cost(now: Time, home: &Home, round_trips: &RoundTrips) -> Span {
    round_trips.over(home.distance) + expected_wait(now, home)
}

/// Returns the last reported wait, weighted down with its age.
fn expected_wait(now: Time, home: &Home) -> Span {
    let age = now.since(home.reported_at);
    let half = WAIT_HALF_LIFE.0;
    Span(
        (u128::from(home.wait.0) * u128::from(half) / u128::from(half.saturating_add(age.0)))
            as u64,
    )
}

/// Returns `true` if the more expensive home is drawn. The probability falls from one half to zero
/// as the difference in cost grows from zero to the larger of the two waits.
fn prefers_second(
    now: Time,
    first: &Home,
    second: &Home,
    round_trips: &RoundTrips,
    random: u64,
) -> bool {
    let band = expected_wait(now, first).max(expected_wait(now, second)).0;
    let gap = cost(now, second, round_trips).saturating_sub(cost(now, first, round_trips)).0;
    if band <= gap {
        return false;
    }
    // Of `2 * band` equally likely values, `band - gap` select the second home.
    random % band.saturating_mul(2) < band - gap
}
