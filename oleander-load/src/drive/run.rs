//! Execution of a plan against a fleet, with a record of each call.

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
use crate::drive::client::Answer;
use crate::drive::client::CallContext;
use crate::drive::client::Client;
use crate::drive::client::WRITE_SQL;
use crate::drive::plan::PlannedCall;
use crate::history::record::Call;
use crate::history::record::KeyValue;
use crate::history::record::Operation;
use crate::history::record::Outcome;

/// The weight of a call that writes, as the profiles set it for the kind `order`.
pub const WRITE_WEIGHT: u32 = 5;

/// The weight of a call that reads, as the profiles set it for the kind `look-up`.
pub const READ_WEIGHT: u32 = 1;

/// `Endpoints` is the shared list of the VMs that accept clients. It stands in for the load
/// balancer of the platform.
#[derive(Clone, Debug, Default)]
pub struct Endpoints {
    list: Arc<RwLock<Vec<Endpoint>>>,
}

/// `Endpoint` is a VM that accepts clients.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The name of the VM.
    pub name: String,
    /// The address at which its proxy accepts clients.
    pub address: SocketAddr,
}

impl Endpoints {
    /// Replaces the list.
    pub fn set(&self, list: Vec<Endpoint>) {
        *self.list.write().unwrap_or_else(PoisonError::into_inner) = list;
    }

    /// Returns the endpoint for a drawn number, modulo their count; `None` if there are none.
    pub fn pick(&self, number: usize) -> Option<Endpoint> {
        let list = self.list.read().unwrap_or_else(PoisonError::into_inner);
        list.get(number.checked_rem(list.len())?).cloned()
    }
}

/// `ReadClass` is the request class under which reads are sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadClass {
    /// Reads, which replicas may serve.
    Routed,
    /// Idempotent writes, which only the primary serves. This is the baseline.
    Primary,
}

/// `Driver` executes planned calls.
#[derive(Clone, Debug)]
pub struct Driver {
    /// The profile of the fleet and its workspaces.
    pub profile: Arc<Profile>,
    /// The VMs that calls are sent to.
    pub endpoints: Endpoints,
    /// The client that sends the calls.
    pub client: Client,
    /// The timers, which also give the times of the record.
    pub timers: TimerService,
    /// The request class of reads.
    pub reads: ReadClass,
    /// Becomes `true` when no further calls are to start.
    pub stop: watch::Receiver<bool>,
}

impl Driver {
    /// Executes the plan open loop and returns the records of all started calls, ordered by number.
    pub async fn run(&self, plan: Vec<PlannedCall>) -> Vec<Call> {
        let start = self.timers.now();
        let mut tasks = JoinSet::new();
        let mut calls = Vec::with_capacity(plan.len());
        for call in plan {
            self.timers.sleep_until(start + call.start).await;
            if *self.stop.borrow() {
                break;
            }
            let driver = self.clone();
            tasks.spawn(async move { driver.call(call, start).await });
            while let Some(done) = tasks.try_join_next() {
                calls.extend(done.ok());
            }
        }
        while let Some(done) = tasks.join_next().await {
            calls.extend(done.ok());
        }
        calls.sort_by_key(|call| call.id);
        calls
    }

    async fn call(&self, call: PlannedCall, start: Time) -> Call {
        let workspace = &self.profile.workspaces[call.workspace];
        let invoked = self.timers.now().since(start).0;
        let outcome = self.execute(&call).await.unwrap_or_else(|outcome| outcome);
        let vm = self.endpoints.pick(call.vms[0]).map(|endpoint| endpoint.name).unwrap_or_default();
        let is_read = matches!(call.operation, Operation::Read { .. });
        Call {
            id: call.id,
            session: call.session,
            vm,
            workspace: workspace.name.to_owned(),
            database: workspace.database.to_owned(),
            weight: if is_read { READ_WEIGHT } else { WRITE_WEIGHT },
            operation: call.operation,
            invoked,
            answered: self.timers.now().since(start).0,
            outcome,
        }
    }

    async fn execute(&self, call: &PlannedCall) -> Result<Outcome, Outcome> {
        let workspace = &self.profile.workspaces[call.workspace];
        let database = workspace.database;
        let api_key = self.profile.api_key(workspace.name);
        match &call.operation {
            Operation::Read { key: list_key, age } => {
                let class = match self.reads {
                    ReadClass::Primary => "upsert",
                    ReadClass::Routed if age.is_some() => "quote",
                    ReadClass::Routed => "read",
                };
                let context = self.context(call, 0, &api_key)?;
                let answer =
                    self.client.read(context, &format!("{database}.{class}"), list_key).await?;
                Ok(answered_outcome(&answer))
            }
            Operation::Write(KeyValue { key: list_key, value }) => {
                let context = self.context(call, 0, &api_key)?;
                let class = format!("{database}.write");
                Ok(answered_outcome(&self.client.write(context, &class, list_key, value).await?))
            }
            Operation::Transaction(writes) => {
                self.execute_transaction(call, &api_key, &format!("{database}.write"), writes).await
            }
        }
    }

    /// Executes a transaction whose steps are sent to different VMs.
    async fn execute_transaction(
        &self,
        call: &PlannedCall,
        api_key: &str,
        class: &str,
        writes: &[KeyValue],
    ) -> Result<Outcome, Outcome> {
        let control = json!({ "class": class });
        let begun =
            self.client.post(self.context(call, 0, api_key)?, "/v1/transactions", &control).await?;
        let transaction = begun.transaction.ok_or(Outcome::Lost)?;
        for (step, write) in writes.iter().enumerate() {
            let body =
                json!({ "class": class, "sql": WRITE_SQL, "parameters": [write.key, write.value] });
            let path = format!("/v1/transactions/{transaction}/statements");
            let outcome =
                self.client.post(self.context(call, step + 1, api_key)?, &path, &body).await;
            // An uncommitted transaction has no effect, whatever the outcome of the statement.
            outcome.map_err(|outcome| uncommitted_outcome(&outcome))?;
        }
        let path = format!("/v1/transactions/{transaction}/commit");
        let context = self.context(call, writes.len() + 1, api_key)?;
        Ok(answered_outcome(&self.client.post(context, &path, &control).await?))
    }

    fn context<'a>(
        &self,
        call: &PlannedCall,
        step: usize,
        api_key: &'a str,
    ) -> Result<CallContext<'a>, Outcome> {
        let endpoint = self.endpoints.pick(call.vms[step]).ok_or(Outcome::Lost)?;
        Ok(CallContext { proxy: endpoint.address, api_key, session: Some(call.session) })
    }
}

fn answered_outcome(answer: &Answer) -> Outcome {
    Outcome::Answered { values: answer.values(), replica: answer.served_by_replica() }
}

fn uncommitted_outcome(outcome: &Outcome) -> Outcome {
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
