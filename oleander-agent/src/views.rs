//! Views for the proxy, and its reports.

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
use crate::shared::Echo;
use crate::shared::ProxyState;
use crate::shared::Shared;

/// The latest views whose numbers are remembered until the proxy obeys them.
const REMEMBERED_VIEWS: usize = 256;

/// The difference between two spans of the clocks of agent and proxy that is put down to delay.
const ECHO_SLACK: Span = Span::from_secs(1);

/// Sends views until the proxy goes away: at each change, and at a steady interval.
pub async fn serve(shared: &Arc<Shared>, request: SubscribeRequest, responder: Responder) {
    let received = shared.now();
    lock(&shared.proxy).echo = Echo { sent: request.sent, received };
    let mut changes = shared.changes.subscribe();
    let mut sent = request.revision;
    loop {
        changes.mark_unchanged();
        if let Some(view) = make_view(shared, sent) {
            sent = view.revision;
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

/// Takes in a report of the proxy.
pub fn take_report(shared: &Shared, report: ProxyReport) {
    let now = shared.now();
    let mut proxy = lock(&shared.proxy);
    if !proxy.echo.is_followed_by(report.sent, now) {
        return;
    }
    proxy.echo = Echo { sent: report.sent, received: now };
    proxy.report = report;
    let obeyed = proxy.take_obeyed(report.view);
    drop(proxy);
    if let Some(since) = obeyed {
        shared.with_node(|node, now| node.confirm_shares(now, since));
    }
}

impl Echo {
    /// Returns `true` if a report can come from the process that sent this echo. A late report of
    /// a proxy that has ended counts time from another start.
    fn is_followed_by(&self, sent: Time, received: Time) -> bool {
        self.sent <= sent && sent.since(self.sent) <= received.since(self.received) + ECHO_SLACK
    }
}

impl ProxyState {
    /// Gets the time of the view with this number, and forgets it and all before.
    fn take_obeyed(&mut self, number: u64) -> Option<Time> {
        let mut obeyed = None;
        while let Some((serial, made)) = self.views.front().copied() {
            if number < serial {
                break;
            }
            obeyed = Some(made);
            self.views.pop_front();
        }
        obeyed
    }
}

fn make_view(shared: &Shared, known: Revision) -> Option<View> {
    let mut proxy = lock(&shared.proxy);
    let echo = proxy.echo;
    let serial = proxy.serial + 1;
    let instances = shared.guards.reports(shared.now());
    let draining = shared.drain.is_triggered();
    let (view, made) = shared.with_node(|node, now| {
        let revision = node.config().revision();
        let view = View {
            revision,
            sections: (known < revision).then(|| node.config().bodies()),
            members: node.members(now),
            shares: node.usable_map(now),
            shares_for: node.shares_until(now).since(echo.received),
            current_for: node.current_until(now).since(echo.received),
            echo: echo.sent,
            serial,
            instances,
            draining,
        };
        (view, now)
    })?;
    proxy.serial = serial;
    proxy.views.push_back((serial, made));
    if REMEMBERED_VIEWS < proxy.views.len() {
        proxy.views.pop_front();
    }
    Some(view)
}
