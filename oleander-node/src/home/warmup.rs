//! Applies the limit on statements to instances that warm up: which instances have a limit, and the
//! tokens that a home takes before it sends a statement.

use std::collections::HashMap;
use std::sync::Arc;

use oleander_core::ids::DatabaseId;
use oleander_core::ids::InstanceKey;
use oleander_core::ids::WorkspaceId;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_core::verdict::Refusal;
use oleander_limits::home::warmup;
use oleander_limits::rates::tokens::Limit;

use crate::fleet::Fleet;
use crate::fleet::View;
use crate::rates::Rates;

/// The time for which a statement waits for a token that another VM has to grant: a little more
/// than a round trip between regions.
const TOKEN_WAIT: Span = Span::from_millis(60);

/// `WarmupBudget` gives out the tokens for statements to instances that warm up.
#[derive(Clone)]
pub struct WarmupBudget {
    /// The view of the directory and its age.
    pub fleet: Arc<Fleet>,
    /// The rate limiter, which has a party for each instance.
    pub rates: Rates,
}

impl WarmupBudget {
    /// Takes a token for a statement if its instance may be cold; `view_needed` is the time from
    /// which a view shows the process of the instance that the connection leads to.
    ///
    /// # Errors
    /// Fails with `RateLimited` and verdict `NotRun` if there is no token.
    pub async fn admit(
        &self,
        database: DatabaseId,
        key: InstanceKey,
        view_needed: Time,
    ) -> Result<(), Refusal> {
        let view = self.fleet.view();
        if view.snapshot.database(database).is_none_or(|database| database.warmup.is_none()) {
            return Ok(());
        }
        let now = self.fleet.now();
        let synced_at = self.fleet.synced_at();
        let is_free = view.instances.get(&key).is_some_and(|instance| {
            !warmup::needs_token(now, instance.cold_until, synced_at, view_needed)
        });
        if is_free {
            return Ok(());
        }
        let admitted = self.rates.admit_limited(warmup::party(key), now + TOKEN_WAIT).await;
        admitted.map_err(|refusal| Refusal {
            detail: "home: the instance warms up and has had its share of requests".to_owned(),
            ..refusal
        })
    }
}

/// `WarmupParties` holds the limits of the instances whose databases limit them while they warm up.
///
/// An instance keeps its limit while it is warm and while the directory lacks it, since the tokens
/// of a limit that is new to a VM are usable only after a wait.
#[derive(Debug, Default)]
pub struct WarmupParties {
    instances: HashMap<InstanceKey, (DatabaseId, Limit)>,
}

impl WarmupParties {
    /// Applies a view. Returns `true` if the limits have changed.
    pub fn update(&mut self, view: &View) -> bool {
        let limit_of = |database: DatabaseId| {
            let warmup = view.snapshot.database(database)?.warmup?;
            Some(warmup::limit(warmup.rate))
        };
        let before = self.instances.clone();
        let listed = view.instances.values().map(|instance| (instance.key, instance.database));
        let former = before.iter().map(|(key, (database, _))| (*key, *database));
        // Where both name an instance, the view counts.
        let limited = former
            .chain(listed)
            .filter_map(|(key, database)| Some((key, (database, limit_of(database)?))));
        self.instances = limited.collect();
        self.instances != before
    }

    /// Returns the limit of each instance's party.
    pub fn limits(&self) -> impl Iterator<Item = (WorkspaceId, Limit)> {
        self.instances.iter().map(|(key, (_, limit))| (warmup::party(*key), *limit))
    }
}
