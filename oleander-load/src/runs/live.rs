//! A load on a running fleet, optionally with a failure of a primary, and its recorded history.

use std::collections::HashMap;
use std::sync::Arc;

use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_runtime::clock::Clock;
use oleander_runtime::timer::TimerService;
use oleander_standin::group::Group;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::cluster::fleet::Fleet;
use crate::cluster::profile::INSTANCES;
use crate::drive::client::Client;
use crate::drive::plan;
use crate::drive::plan::PlanOptions;
use crate::drive::run::Driver;
use crate::drive::run::ReadClass;
use crate::history::lines::History;
use crate::history::lines::Overrun;
use crate::history::lines::RateLimit;
use crate::history::record::Applied;
use crate::history::record::Call;
use crate::history::record::KeyValue;
use crate::measures::ideal::Limit;

/// The longest deadline of the routes in the profiles.
const MAX_DEADLINE: Span = Span::from_secs(2);

/// `LiveOptions` are the options of a load on a running fleet.
#[derive(Clone, Copy, Debug)]
pub struct LiveOptions {
    /// The parameters of the load.
    pub plan: PlanOptions,
    /// The request class under which reads are sent.
    pub reads: ReadClass,
    /// The time, since the start of the load, at which the primary of the first database is
    /// partitioned off; `None` for no failure.
    pub fail_primary: Option<Span>,
}

/// `LiveRun` is the result of a load on a running fleet.
pub struct LiveRun {
    /// The recorded calls, the upstreams' logs and the limits.
    pub history: History,
    /// The time at which the primary was partitioned off, in microseconds since the start of the
    /// load; `None` if none was.
    pub failed_at: Option<u64>,
}

impl LiveRun {
    /// Returns the rate limits by workspace.
    pub fn limits(&self) -> HashMap<String, Limit> {
        limits(&self.history)
    }
}

/// Returns the rate limits of a history by workspace.
pub fn limits(history: &History) -> HashMap<String, Limit> {
    let limit = |rate: &RateLimit| Limit { rate: rate.rate, burst: rate.burst };
    history.rates.iter().map(|rate| (rate.workspace.clone(), limit(rate))).collect()
}

/// `Load` is a load in progress.
pub struct Load {
    task: JoinHandle<Vec<Call>>,
    timers: TimerService,
    start: Time,
    stop: watch::Sender<bool>,
}

impl Load {
    /// Starts a load on a fleet.
    ///
    /// Returns an error if the HTTP client cannot be built.
    pub fn start(fleet: &Fleet, plan: &PlanOptions, reads: ReadClass) -> Result<Self, String> {
        let client = Client::new(MAX_DEADLINE).map_err(|error| error.to_string())?;
        let timers = TimerService::start(Clock::new());
        let (stop, stopped) = watch::channel(false);
        let driver = Driver {
            profile: fleet.profile.clone(),
            endpoints: fleet.endpoints.clone(),
            client,
            timers: timers.clone(),
            reads,
            stop: stopped,
        };
        let plan = plan::plan(&fleet.profile, fleet.nodes.len(), plan);
        let start = timers.now();
        Ok(Self { task: tokio::spawn(async move { driver.run(plan).await }), timers, start, stop })
    }

    /// Waits until the time `at` after the start and returns the time since the start, in
    /// microseconds.
    pub async fn wait_until(&self, at: Span) -> u64 {
        self.timers.sleep_until(self.start + at).await;
        self.timers.now().since(self.start).0
    }

    /// Waits for the end of the load and returns its history.
    ///
    /// Returns an error if the task of the load panicked.
    pub async fn finish(self, fleet: &Fleet) -> Result<History, String> {
        let calls = self.task.await.map_err(|error| error.to_string())?;
        Ok(History { calls, ..read_upstreams(fleet) })
    }

    /// Stops the start of further calls, waits for those in progress and returns the history.
    ///
    /// Returns an error if the task of the load panicked.
    pub async fn stop(self, fleet: &Fleet) -> Result<History, String> {
        self.stop.send_replace(true);
        self.finish(fleet).await
    }
}

/// Runs a load to its end and returns its record.
///
/// Returns an error if the HTTP client cannot be built or the task of the load panicked.
pub async fn run(fleet: &Fleet, options: &LiveOptions) -> Result<LiveRun, String> {
    let load = Load::start(fleet, &options.plan, options.reads)?;
    let mut failed_at = None;
    if let Some(at) = options.fail_primary {
        let time = load.wait_until(at).await;
        failed_at = cut_primary(fleet).map(|()| time);
    }
    Ok(LiveRun { history: load.finish(fleet).await?, failed_at })
}

/// Partitions off the primary of the first database; returns `None` if there is none.
fn cut_primary(fleet: &Fleet) -> Option<()> {
    let group = fleet.groups.first()?;
    group.partition(group.primary()?);
    Some(())
}

/// Returns a history without calls: the rate limits, the upstreams' logs and their overruns.
fn read_upstreams(fleet: &Fleet) -> History {
    let profile = Arc::clone(&fleet.profile);
    let rates = profile.workspaces.iter().map(|workspace| RateLimit {
        workspace: workspace.name.to_owned(),
        rate: workspace.rate,
        burst: workspace.burst,
    });
    let mut history = History { rates: rates.collect(), ..History::default() };
    for (database, group) in profile.databases.iter().zip(&fleet.groups) {
        let primary = group.primary().unwrap_or_default();
        history.applied.extend(group.changes(primary).into_iter().map(|change| Applied {
            database: (*database).to_owned(),
            workspace: change.workspace,
            write: KeyValue { key: change.key, value: change.value },
            transaction: change.transaction,
        }));
        for ordinal in 0..INSTANCES {
            let counters = group.counters(ordinal);
            let limits = [
                ("slots", profile.slots, counters.peak_running),
                ("connections", profile.connections, counters.peak_connections),
            ];
            for (resource, limit, seen) in
                limits.into_iter().filter(|(_, limit, seen)| limit < seen)
            {
                let instance = format!("{database}/{ordinal}");
                history.overruns.push(Overrun {
                    instance,
                    resource: resource.to_owned(),
                    limit,
                    seen,
                });
            }
        }
    }
    history
}

/// Returns the number of connections that the instances refused because of their connection limit.
///
/// When connections fall silent, an instance may still count some that the proxies have closed. In
/// any other run each refusal means that the proxies opened too many connections.
pub fn refused_connections(fleet: &Fleet) -> u64 {
    let refused = |group: &Group| (0..INSTANCES).map(|at| group.counters(at).refused).sum::<u64>();
    fleet.groups.iter().map(refused).sum()
}
