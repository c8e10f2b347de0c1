//! Numbered events of the log, which `docs/EVENTS.md` lists.

use strum::Display;
use strum::EnumIter;
use strum::FromRepr;

/// `Event` is the number and name of a log event.
///
/// The hundreds are the areas: 1xx process, 2xx configuration, 3xx membership, 4xx failover, 5xx
/// requests, 6xx connections, 7xx limits.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Display, EnumIter, FromRepr)]
#[strum(serialize_all = "kebab-case")]
#[repr(u16)]
pub enum Event {
    /// A process has started and is listening.
    ProcessStarted = 100,
    /// A process has begun its graceful shutdown.
    DrainStarted = 101,
    /// A process has finished its graceful shutdown.
    DrainFinished = 102,
    /// A process has reloaded its settings.
    SettingsReloaded = 103,
    /// A configuration revision has come into force on this VM.
    RevisionInForce = 200,
    /// A configuration revision failed the check on this VM.
    RevisionRejected = 201,
    /// This VM is no longer current and refuses requests that need an API key.
    CurrencyLost = 202,
    /// This VM is current again.
    CurrencyRegained = 203,
    /// An entry of the instance directory, or another record in the store, is malformed and
    /// ignored.
    EntryRejected = 204,
    /// An instance was added to the directory, changed or removed.
    InstanceChanged = 205,
    /// An operator has requested the evacuation of an availability zone.
    EvacuationStarted = 206,
    /// The evacuation of an availability zone has ended.
    EvacuationEnded = 207,
    /// This VM has started after the store was restored and does not go by the configuration yet.
    ConfigurationHeld = 208,
    /// No other VM knows a later configuration than the one that this VM has read.
    ConfigurationConfirmed = 209,
    /// An instance has started and warms up.
    InstanceCold = 210,
    /// This VM, as the home of an instance, refused a statement that may not run in its region.
    RegionRefused = 211,
    /// An instance is listed for a database that the configuration in force does not name, and is not
    /// used.
    InstanceUnused = 212,
    /// A VM joined the roster.
    VmJoined = 300,
    /// A VM left the roster or was removed from it.
    VmLeft = 301,
    /// A share has another owner.
    ShareMoved = 302,
    /// This VM stopped using its shares: it was isolated or paused, lost its lease, or is leaving.
    SharesSuspended = 303,
    /// The platform's store is unreachable.
    StoreUnreachable = 304,
    /// The platform's store is reachable again.
    StoreReachable = 305,
    /// A peer is suspected to be down.
    PeerSuspected = 306,
    /// This VM has started to use its own shares.
    SharesActive = 307,
    /// Every other VM has learned that this VM joined, or has not answered in time.
    JoinKnown = 308,
    /// The platform's store was restored from a copy and has lost its latest changes.
    StoreRestored = 309,
    /// The store has granted this VM a lease.
    LeaseGranted = 310,
    /// An instance stopped answering pings.
    InstanceSuspected = 400,
    /// An instance answers pings again.
    InstanceRecovered = 401,
    /// Another VM was asked whether it can reach an instance.
    OpinionAsked = 402,
    /// A promotion has started: it fences a majority of the instances at a new term.
    PromotionStarted = 403,
    /// A majority of instances is fenced at the new term.
    MajorityFenced = 404,
    /// An instance was promoted to primary.
    PrimaryPromoted = 405,
    /// A promotion was abandoned; the record holds the reason.
    PromotionAbandoned = 406,
    /// A former primary rejoined its group as a replica.
    PrimaryRejoined = 407,
    /// An instance reported itself as primary.
    PrimarySeen = 408,
    /// The platform was asked to promote an instance.
    PromotionOrdered = 409,
    /// A VM became the keeper of a database, which monitors its primary.
    KeeperChanged = 410,
    /// A keeper announced that the primary of a database is about to be replaced.
    PrimaryWithdrawn = 411,
    /// No VM uses the former primary of a database any more.
    VmsInformed = 412,
    /// A promotion waits, as no instance is shown to have each acknowledged commit.
    PromotionUnproven = 413,
    /// An instance fails or is slow compared with the others of its database; reads try it last.
    InstanceEjected = 414,
    /// An ejected instance gets reads again as before.
    InstanceReinstated = 415,
    /// An instance claims to lead a term that no order has started, and is not believed.
    LeaderUnexplained = 416,
    /// A request was refused.
    RequestRefused = 500,
    /// A request was retried after a failure.
    RequestRetried = 501,
    /// An open transaction was ended by the proxy.
    TransactionEnded = 502,
    /// A request was served; only a sample of them is logged.
    RequestServed = 503,
    /// A statement failed on an instance and was not retried on another.
    StatementFailed = 504,
    /// A home admits only the higher priority levels, because statements wait long or were refused.
    HorizonClosed = 511,
    /// A connection was closed because nothing was received on it for too long.
    ConnectionSilent = 600,
    /// A connection was closed because its state is unknown.
    ConnectionPoisoned = 601,
    /// A connection to a peer or an upstream could not be opened.
    ConnectionFailed = 602,
    /// A share of the rate limits lends nothing yet: it waits until earlier grants have expired.
    RateShareWaiting = 700,
}

impl Event {
    /// Returns the number of the event, as written to the log.
    pub fn number(self) -> u16 {
        self as u16
    }
}
