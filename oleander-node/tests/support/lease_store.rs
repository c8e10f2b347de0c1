//! A store that answers with leases of its own TTL, and keeps when they end.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use async_trait::async_trait;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_ports::store::Changes;
use oleander_ports::store::Commit;
use oleander_ports::store::CommitOutcome;
use oleander_ports::store::KeyValueStore;
use oleander_ports::store::LeaseGrant;
use oleander_ports::store::LeaseId;
use oleander_ports::store::ReadResponse;
use oleander_ports::store::StoreError;
use oleander_ports::store::StoreRevision;
use oleander_runtime::timer::TimerService;

/// `LeaseStore` grants and renews leases with a TTL of its own.
pub struct LeaseStore {
    timers: TimerService,
    /// The TTL that applies from the next call on.
    pub applied: Mutex<Span>,
    /// The time for which an answer is on its way.
    pub answer_delay: Span,
    /// `true` while calls fail without an effect.
    pub away: AtomicBool,
    /// The leases that were revoked.
    pub revoked: Mutex<Vec<LeaseId>>,
    /// The arrivals of renewals.
    pub renewals: Mutex<Vec<Time>>,
    /// The end of the lease as the store counts it.
    ends_at: AtomicU64,
}

impl LeaseStore {
    pub fn new(timers: TimerService, applied: Span, answer_delay: Span) -> Arc<Self> {
        Arc::new(Self {
            timers,
            applied: Mutex::new(applied),
            answer_delay,
            away: AtomicBool::new(false),
            revoked: Mutex::default(),
            renewals: Mutex::default(),
            ends_at: AtomicU64::new(0),
        })
    }

    /// Returns the time at which the lease ends as the store counts it; 0 before the first grant.
    pub fn ends_at(&self) -> Time {
        Time(self.ends_at.load(Ordering::Acquire))
    }

    /// Counts the lease from now on, and returns its TTL once the answer has arrived.
    async fn count_lease(&self) -> Result<Span, StoreError> {
        if self.away.load(Ordering::Acquire) {
            return Err(StoreError::Unavailable);
        }
        let ttl = *self.applied.lock().unwrap();
        self.ends_at.store((self.timers.now() + ttl).0, Ordering::Release);
        self.timers.sleep(self.answer_delay).await;
        Ok(ttl)
    }

    fn answer<T>(&self, value: T) -> Result<T, StoreError> {
        if self.away.load(Ordering::Acquire) { Err(StoreError::Unavailable) } else { Ok(value) }
    }
}

#[async_trait]
impl KeyValueStore for LeaseStore {
    async fn read_all(&self) -> Result<ReadResponse, StoreError> {
        self.answer(ReadResponse::default())
    }

    async fn read(&self, _key: &str) -> Result<ReadResponse, StoreError> {
        self.answer(ReadResponse::default())
    }

    async fn watch(&self, _after: StoreRevision, _wait: Span) -> Result<Changes, StoreError> {
        self.answer(Changes::default())
    }

    async fn commit(
        &self,
        _commit: &Commit,
        _lease: Option<LeaseId>,
    ) -> Result<CommitOutcome, StoreError> {
        self.answer(CommitOutcome::Committed(StoreRevision(1)))
    }

    async fn grant(&self, _ttl: Span) -> Result<LeaseGrant, StoreError> {
        let ttl = self.count_lease().await?;
        Ok(LeaseGrant { lease: LeaseId { number: 7, era: 0 }, ttl })
    }

    async fn renew(&self, _lease: LeaseId) -> Result<Option<Span>, StoreError> {
        self.renewals.lock().unwrap().push(self.timers.now());
        self.count_lease().await.map(Some)
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.revoked.lock().unwrap().push(lease);
        self.answer(())
    }
}
