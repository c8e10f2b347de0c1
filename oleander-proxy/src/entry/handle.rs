//! Handles a caller's request from its arrival to its answer.

use std::sync::Arc;

use oleander_config::snapshot::Snapshot;
use oleander_core::ids::DatabaseId;
use oleander_core::ids::TransactionId;
use oleander_core::ids::WorkspaceId;
use oleander_core::level::Level;
use oleander_core::time::Time;
use oleander_core::verdict::Refusal;
use oleander_core::verdict::RefusalCode;
use oleander_peer::messages::Work;
use oleander_peer::messages::WorkAnswer;
use oleander_peer::messages::WorkRequest;
use oleander_routing::admit;
use oleander_routing::admit::Admitted;
use oleander_routing::admit::Currency;
use oleander_routing::retry::Effect;
use oleander_session::codec;
use oleander_session::token::Token;

use crate::entry::call::Call;
use crate::entry::call::CallAction;
use crate::entry::call::CallAnswer;
use crate::fleet::view::FleetView;
use crate::proxy::Proxy;

/// `PreparedRequest` is a request that has been checked and can be forwarded to a home.
struct PreparedRequest {
    request: WorkRequest,
    effect: Effect,
    transaction: Option<TransactionId>,
    deadline: Time,
}

impl Proxy {
    /// Runs a caller's request and records its latency or refusal in the metrics.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request was not admitted, not forwarded or not completed.
    pub async fn call(self: &Arc<Self>, call: Call) -> Result<CallAnswer, Refusal> {
        let _open = self.open_request();
        let started = self.timers.now();
        let view = self.fleet();
        let currency =
            if view.is_current(started) { Currency::Current } else { Currency::NotCurrent };
        let admitted = admit::admit(&view.snapshot, currency, &call.matcher, call.key.as_ref())?;
        let labels = MetricLabels::of(&view, &admitted);
        let outcome = self.run_admitted(&view, &admitted, call, started).await;
        let span = self.timers.now().since(started);
        match &outcome {
            Ok(_) => self.metrics.record_latency(&labels.workspace, &labels.kind, span),
            Err(error) => self.metrics.count_refusal(&labels.workspace, &labels.kind, error.code),
        }
        outcome
    }

    async fn run_admitted(
        self: &Arc<Self>,
        view: &Arc<FleetView>,
        admitted: &Admitted<'_>,
        call: Call,
        started: Time,
    ) -> Result<CallAnswer, Refusal> {
        let mut token =
            codec::decode_all(admitted.workspace, call.tokens.iter().map(String::as_str))?;
        if !token.has_room(admitted.database) {
            return Err(Refusal::not_run(
                RefusalCode::BadToken,
                "the session token holds too many databases",
            ));
        }
        let deadline =
            started + call.deadline.unwrap_or(admitted.route.deadline).min(admitted.route.deadline);
        let prepared = self.prepare(view, admitted, call, &token, deadline)?;
        if is_charged(&prepared.request.work) {
            let level = prepared.request.level;
            let cost = admitted.route.cost;
            self.rates.admit(admitted.workspace, level, cost, deadline).await?;
        }
        let answer = self.send(prepared).await?;
        build_answer(&mut token, admitted.database, answer)
    }

    fn prepare(
        &self,
        view: &FleetView,
        admitted: &Admitted<'_>,
        call: Call,
        token: &Token,
        deadline: Time,
    ) -> Result<PreparedRequest, Refusal> {
        let route = admitted.route;
        let seen = || token.seen(admitted.database).to_vec();
        if !matches!(call.action, CallAction::Single(_)) && !route.access.is_write() {
            return Err(Refusal::not_run(
                RefusalCode::BadRequest,
                "the class does not write, so it takes no transaction",
            ));
        }
        let (work, effect, transaction) = match call.action {
            CallAction::Single(statement) => {
                let work = Work::Single {
                    statement,
                    access: route.access,
                    seen: seen(),
                    age: route.max_age,
                };
                (work, Effect::of_single(route.access), None)
            }
            CallAction::Begin => (Work::Begin { seen: seen() }, Effect::Begin, None),
            CallAction::InTransaction(transaction, statement) => (
                Work::InTransaction { transaction, statement },
                Effect::InTransaction,
                Some(transaction),
            ),
            CallAction::Commit(transaction) => {
                (Work::Commit { transaction }, Effect::Commit, Some(transaction))
            }
            CallAction::Rollback(transaction) => {
                (Work::Rollback { transaction }, Effect::Rollback, Some(transaction))
            }
        };
        let request = WorkRequest {
            id: self.next_request_id(),
            revision: view.snapshot.revision,
            workspace: admitted.workspace,
            key: call.key.map(|key| key.0),
            database: admitted.database,
            cost: route.cost,
            level: level_of(&view.snapshot, admitted),
            remaining: deadline.since(self.timers.now()),
            work,
        };
        Ok(PreparedRequest { request, effect, transaction, deadline })
    }

    async fn send(self: &Arc<Self>, prepared: PreparedRequest) -> Result<WorkAnswer, Refusal> {
        let PreparedRequest { request, effect, transaction, deadline } = prepared;
        match transaction {
            Some(transaction) => {
                self.forward_in_transaction(request, effect, transaction, deadline).await
            }
            None => self.forward(request, effect, deadline).await,
        }
    }
}

/// `MetricLabels` holds the labels of a request's metrics.
struct MetricLabels {
    workspace: String,
    kind: String,
}

impl MetricLabels {
    fn of(view: &FleetView, admitted: &Admitted<'_>) -> Self {
        let workspace: WorkspaceId = admitted.workspace;
        let name = view.snapshot.workspace(workspace).map(|workspace| workspace.name.clone());
        Self { workspace: name.unwrap_or_default(), kind: admitted.route.kind.clone() }
    }
}

/// Returns the priority level of a request.
fn level_of(snapshot: &Snapshot, admitted: &Admitted<'_>) -> Level {
    let workspace = snapshot.workspace(admitted.workspace);
    let priority = workspace.map_or(0, |workspace| workspace.priority);
    Level::from_priorities(admitted.route.priority, priority)
}

/// Returns `true` if the request counts towards the workspace's rate limit. The end of a
/// transaction does not count.
fn is_charged(work: &Work) -> bool {
    !matches!(work, Work::Commit { .. } | Work::Rollback { .. })
}

/// Adds the answer's log point to the session token and builds the answer for the caller.
///
/// Fails with the verdict "ran" if the token cannot hold the point or cannot be encoded.
fn build_answer(
    token: &mut Token,
    database: DatabaseId,
    answer: WorkAnswer,
) -> Result<CallAnswer, Refusal> {
    let to_refusal = |error: oleander_session::errors::Error| {
        Refusal::ran(RefusalCode::BadToken, error.to_string())
    };
    token.observe(database, answer.seen).map_err(to_refusal)?;
    let session = codec::encode(token).map_err(to_refusal)?;
    Ok(CallAnswer {
        rows: answer.rows,
        session,
        replica: answer.replica,
        transaction: answer.transaction,
    })
}
