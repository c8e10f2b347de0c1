//! Runs a plan against a fleet and records each call.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;

use oleander_core::time::Time;
use oleander_core::verdict::RefusalCode;
use oleander_core::verdict::Verdict;
use oleander_runtime::timer::TimerService;
use serde_json::json;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::cluster::profile::Profile;
use crate::drive::client::Address;
use crate::drive::client::Answer;
use crate::drive::client::Client;
use crate::drive::client::WRITE_SQL;
use crate::drive::plan::Planned;
use crate::history::record::Call;
use crate::history::record::KeyValue;
use crate::history::record::Operation;
use crate::history::record::Outcome;

/// The weight of a call that writes.
pub const WRITE_WEIGHT: u32 = 5;

/// The weight of a call that reads.
pub const READ_WEIGHT: u32 = 1;

/// `Endpoints` are the VMs that take callers now, as the platform's balancer knows them.
#[derive(Clone, Debug, Default)]
pub struct Endpoints {
    list: Arc<RwLock<Vec<Endpoint>>>,
}

/// `Endpoint` is a VM that takes callers.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The name of the VM.
    pub name: String,
    /// The address of its proxy.
    pub address: SocketAddr,
}

impl Endpoints {
    /// Replaces the list.
    pub fn set(&self, list: Vec<Endpoint>) {
        *self.list.write().unwrap_or_else(PoisonError::into_inner) = list;
    }

    /// Picks the endpoint for a drawn number; `None` if there are none.
    pub fn pick(&self, number: usize) -> Option<Endpoint> {
        let list = self.list.read().unwrap_or_else(PoisonError::into_inner);
        list.get(number.checked_rem(list.len())?).cloned()
    }
}

/// `ReadClass` says under which class reads are sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadClass {
    /// As reads, which replicas may serve.
    Routed,
    /// As idempotent writes, which only the primary serves: the baseline.
    Primary,
}

/// `Driver` sends planned calls.
#[derive(Clone, Debug)]
pub struct Driver {
    /// The profile whose workspaces send.
    pub profile: Arc<Profile>,
    /// The VMs to send to.
    pub endpoints: Endpoints,
    /// The HTTP client.
    pub client: Client,
    /// The timers.
    pub timers: TimerService,
    /// The class of reads.
    pub reads: ReadClass,
    /// Turns `true` when no further calls are to start.
    pub stop: watch::Receiver<bool>,
}

impl Driver {
    /// Runs the whole plan, open loop, and returns the calls in order of their numbers.
    pub async fn run(&self, plan: Vec<Planned>) -> Vec<Call> {
        let start = self.timers.now();
        let mut open = JoinSet::new();
        let mut calls = Vec::with_capacity(plan.len());
        for planned in plan {
            self.timers.sleep_until(start + planned.at).await;
            if *self.stop.borrow() {
                break;
            }
            let driver = self.clone();
            open.spawn(async move { driver.call(planned, start).await });
            while let Some(done) = open.try_join_next() {
                calls.extend(done.ok());
            }
        }
        while let Some(done) = open.join_next().await {
            calls.extend(done.ok());
        }
        calls.sort_by_key(|call| call.id);
        calls
    }

    async fn call(&self, planned: Planned, start: Time) -> Call {
        let workspace = &self.profile.workspaces[planned.workspace];
        let invoked = self.timers.now().since(start).0;
        let outcome = self.perform(&planned).await.unwrap_or_else(|outcome| outcome);
        let vm =
            self.endpoints.pick(planned.vms[0]).map(|endpoint| endpoint.name).unwrap_or_default();
        let is_read = matches!(planned.operation, Operation::Read { .. });
        Call {
            id: planned.id,
            session: planned.session,
            vm,
            workspace: workspace.name.to_owned(),
            database: workspace.database.to_owned(),
            weight: if is_read { READ_WEIGHT } else { WRITE_WEIGHT },
            operation: planned.operation,
            invoked,
            answered: self.timers.now().since(start).0,
            outcome,
        }
    }

    async fn perform(&self, planned: &Planned) -> Result<Outcome, Outcome> {
        let workspace = &self.profile.workspaces[planned.workspace];
        let database = workspace.database;
        let key = self.profile.key(workspace.name);
        match &planned.operation {
            Operation::Read { key: entry, age } => {
                let class = match self.reads {
                    ReadClass::Primary => "upsert",
                    ReadClass::Routed if age.is_some() => "quote",
                    ReadClass::Routed => "read",
                };
                let address = self.address(planned, 0, &key)?;
                let answer =
                    self.client.read(address, &format!("{database}.{class}"), entry).await?;
                Ok(answered(&answer))
            }
            Operation::Write(KeyValue { key: entry, value }) => {
                let address = self.address(planned, 0, &key)?;
                let class = format!("{database}.write");
                Ok(answered(&self.client.write(address, &class, entry, value).await?))
            }
            Operation::Transaction(writes) => {
                self.transact(planned, &key, &format!("{database}.write"), writes).await
            }
        }
    }

    /// Runs a transaction whose steps go to different VMs.
    async fn transact(
        &self,
        planned: &Planned,
        key: &str,
        class: &str,
        writes: &[KeyValue],
    ) -> Result<Outcome, Outcome> {
        let control = json!({ "class": class });
        let begun =
            self.client.post(self.address(planned, 0, key)?, "/v1/transactions", &control).await?;
        let transaction = begun.transaction.ok_or(Outcome::Lost)?;
        for (step, write) in writes.iter().enumerate() {
            let body =
                json!({ "class": class, "sql": WRITE_SQL, "parameters": [write.key, write.value] });
            let path = format!("/v1/transactions/{transaction}/statements");
            let outcome =
                self.client.post(self.address(planned, step + 1, key)?, &path, &body).await;
            // Without a commit nothing of the transaction stays, whatever became of the statement.
            outcome.map_err(|outcome| not_committed(&outcome))?;
        }
        let path = format!("/v1/transactions/{transaction}/commit");
        let address = self.address(planned, writes.len() + 1, key)?;
        Ok(answered(&self.client.post(address, &path, &control).await?))
    }

    fn address<'a>(
        &self,
        planned: &Planned,
        step: usize,
        key: &'a str,
    ) -> Result<Address<'a>, Outcome> {
        let endpoint = self.endpoints.pick(planned.vms[step]).ok_or(Outcome::Lost)?;
        Ok(Address { proxy: endpoint.address, key, session: Some(planned.session) })
    }
}

fn answered(answer: &Answer) -> Outcome {
    Outcome::Answered { values: answer.values(), replica: answer.by_replica() }
}

fn not_committed(outcome: &Outcome) -> Outcome {
    match outcome {
        Outcome::Refused { code, retry_after, .. } => {
            Outcome::Refused { code: *code, verdict: Verdict::NotRun, retry_after: *retry_after }
        }
        _ => Outcome::Refused {
            code: RefusalCode::TransactionGone,
            verdict: Verdict::NotRun,
            retry_after: None,
        },
    }
}
