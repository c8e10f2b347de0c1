//! Views sent to the proxy, and the reports it returns.

use std::sync::Arc;

use oleander_core::ids::Revision;
use oleander_core::time::Span;
use oleander_core::time::Time;
use oleander_membership::messages::View;
use oleander_peer::messages::ProxyReport;
use oleander_peer::messages::Reply;
use oleander_peer::messages::SubscribeRequest;
use oleander_peer::server::Responder;

use crate::lock::lock;
use crate::shared::ClockSample;
use crate::shared::ProxyState;
use crate::shared::Shared;

/// The maximum number of views that are remembered until the proxy confirms them; the oldest are
/// dropped first.
const MAX_PENDING_VIEWS: usize = 256;

/// The maximum amount by which the time between two messages of one proxy process may be longer on
/// the proxy's clock than on the agent's. Up to this bound, varying message delays explain it.
const MAX_DELAY_VARIATION: Span = Span::from_secs(1);

/// Sends views until the proxy disconnects: at each change, and at least at the view interval.
pub async fn serve(shared: &Arc<Shared>, request: SubscribeRequest, responder: Responder) {
    let received = shared.now();
    lock(&shared.proxy).clock_sample = ClockSample { sent: request.sent, received };
    let mut changes = shared.changes.subscribe();
    let mut sent_revision = request.revision;
    loop {
        changes.mark_unchanged();
        if let Some(view) = make_view(shared, sent_revision) {
            sent_revision = view.revision;
            if responder.send(Reply::View(Box::new(view))).await.is_err() {
                return;
            }
        }
        tokio::select! {
            changed = changes.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            () = shared.timers.sleep(shared.settings.times.view) => {}
        }
    }
}

/// Handles a report of the proxy. A report that cannot come from the subscribed process is ignored.
pub fn handle_report(shared: &Shared, report: ProxyReport) {
    let now = shared.now();
    let mut proxy = lock(&shared.proxy);
    if !proxy.clock_sample.may_precede(report.sent, now) {
        return;
    }
    proxy.clock_sample = ClockSample { sent: report.sent, received: now };
    proxy.report = report;
    let applied = proxy.take_applied(report.view);
    drop(proxy);
    if let Some(created) = applied {
        shared.with_node(|node, now| node.confirm_shares(now, created));
    }
}

impl ClockSample {
    /// Returns `true` if a report can come from the proxy process that this sample is from. A late
    /// report of an earlier process is on a clock with a different start.
    fn may_precede(&self, sent: Time, received: Time) -> bool {
        self.sent <= sent
            && sent.since(self.sent) <= received.since(self.received) + MAX_DELAY_VARIATION
    }
}

impl ProxyState {
    /// Returns the creation time of the latest remembered view up to the serial number `last`, and
    /// removes it and all earlier ones; `None` if there is none.
    fn take_applied(&mut self, last: u64) -> Option<Time> {
        let mut applied = None;
        while let Some((serial, created)) = self.views.front().copied() {
            if last < serial {
                break;
            }
            applied = Some(created);
            self.views.pop_front();
        }
        applied
    }
}

/// Creates the next view, with the sections only if the proxy's revision `known` is older than the
/// one in force; `None` before the VM has registered.
fn make_view(shared: &Shared, known: Revision) -> Option<View> {
    let mut proxy = lock(&shared.proxy);
    let sample = proxy.clock_sample;
    let serial = proxy.serial + 1;
    let instances = shared.monitors.reports(shared.now());
    let draining = shared.drain.is_triggered();
    let (view, created) = shared.with_node(|node, now| {
        let revision = node.config().revision();
        let view = View {
            revision,
            sections: (known < revision).then(|| node.config().bodies()),
            members: node.members(now),
            shares: node.usable_map(now),
            shares_for: node.shares_until(now).since(sample.received),
            current_for: node.current_until(now).since(sample.received),
            echo: sample.sent,
            serial,
            instances,
            draining,
        };
        (view, now)
    })?;
    proxy.serial = serial;
    proxy.views.push_back((serial, created));
    if MAX_PENDING_VIEWS < proxy.views.len() {
        proxy.views.pop_front();
    }
    Some(view)
}
