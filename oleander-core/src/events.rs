//! Numbered events of the log; `docs/EVENTS.md` is their catalogue.

use strum::Display;
use strum::EnumIter;
use strum::FromRepr;

/// `Event` is the number and name of a log event.
///
/// Hundreds separate the duties: 1xx process, 2xx configuration, 3xx
/// membership, 4xx failover, 5xx requests, 6xx connections, 7xx limits.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Display, EnumIter, FromRepr)]
#[strum(serialize_all = "kebab-case")]
#[repr(u16)]
pub enum Event {
    /// A process has started and listens.
    ProcessStarted = 100,
    /// A process has begun its graceful shutdown.
    DrainStarted = 101,
    /// A process has finished its graceful shutdown.
    DrainFinished = 102,
    /// A process has read its settings again.
    SettingsReloaded = 103,
    /// A configuration revision has come into force on this VM.
    RevisionInForce = 200,
    /// A configuration revision was refused by the check on this VM.
    RevisionRejected = 201,
    /// This VM stopped being current and refuses keyed requests.
    CurrencyLost = 202,
    /// This VM is current again.
    CurrencyRegained = 203,
    /// An entry of the directory of instances cannot be read and names no instance.
    EntryRejected = 204,
    /// An instance appeared in the directory, changed or left it.
    InstanceChanged = 205,
    /// A VM joined the roster.
    VmJoined = 300,
    /// A VM left the roster or was removed from it.
    VmLeft = 301,
    /// A share changed hands.
    ShareMoved = 302,
    /// This VM stopped using its shares: it was isolated or paused, lost its lease, or leaves.
    SharesSuspended = 303,
    /// The platform's store cannot be reached.
    StoreUnreachable = 304,
    /// The platform's store answers again.
    StoreReachable = 305,
    /// A peer is suspected to be down.
    PeerSuspected = 306,
    /// This VM uses its own shares.
    SharesActive = 307,
    /// All VMs that may have owned this VM's shares before know that it has joined.
    JoinKnown = 308,
    /// An instance stopped answering pings.
    InstanceSuspected = 400,
    /// An instance answers pings again.
    InstanceRecovered = 401,
    /// A second opinion on an instance was asked for.
    OpinionAsked = 402,
    /// A promotion has started: fencing a majority at a new term.
    PromotionStarted = 403,
    /// A majority of instances is fenced at the new term.
    MajorityFenced = 404,
    /// A new primary took office.
    PrimaryPromoted = 405,
    /// A promotion was given up, for the reason in the record.
    PromotionAbandoned = 406,
    /// A former primary rejoined its group as a replica.
    PrimaryRejoined = 407,
    /// An instance has answered as primary.
    PrimarySeen = 408,
    /// The platform was asked to promote an instance.
    PromotionOrdered = 409,
    /// A VM took over the watch of a database's primary.
    KeeperChanged = 410,
    /// A keeper has told this VM that the primary of a database is about to be replaced.
    PrimaryWithdrawn = 411,
    /// No VM goes by the former primary of a database any more.
    VmsInformed = 412,
    /// A request was refused.
    RequestRefused = 500,
    /// A request was sent again after a failure.
    RequestRetried = 501,
    /// An open transaction was ended by the proxy.
    TransactionEnded = 502,
    /// A request was served; one of many.
    RequestServed = 503,
    /// A statement failed at an instance, and no other was tried.
    StatementFailed = 504,
    /// A connection was closed because it had been silent for too long.
    ConnectionSilent = 600,
    /// A connection was closed because its state is unknown.
    ConnectionPoisoned = 601,
    /// A connection to a peer or an upstream could not be opened.
    ConnectionFailed = 602,
    /// A rate share waits out earlier grants before it lends.
    RateShareWaiting = 700,
}

impl Event {
    /// Gets the number of the event.
    pub fn number(self) -> u16 {
        self as u16
    }
}
