//! Subscribes to the agent's views and sends it the reports that acknowledge them.

use std::sync::Arc;

use oleander_config::sections::parse_stored;
use oleander_config::snapshot::Snapshot;
use oleander_core::events::Event;
use oleander_core::ids::Revision;
use oleander_core::time::Span;
use oleander_membership::messages::SectionBody;
use oleander_membership::messages::View;
use oleander_peer::connection::ReplyStream;
use oleander_peer::errors::Result;
use oleander_peer::messages::ProxyReport;
use oleander_peer::messages::Reply;
use oleander_peer::messages::Request;
use oleander_peer::messages::SubscribeRequest;
use oleander_runtime::logs::Field;

use crate::fleet::view::FleetView;
use crate::proxy::Proxy;

/// The pause before another attempt to subscribe.
const RECONNECT_PAUSE: Span = Span::from_millis(100);

/// The maximum interval between reports to the agent.
const REPORT_INTERVAL: Span = Span::from_millis(250);

/// The time limit for the agent's reply to a report.
const REPORT_TIMEOUT: Span = Span::from_millis(1_000);

/// The time without a view after which the proxy subscribes again.
const VIEW_TIMEOUT: Span = Span::from_secs(3);

/// Applies the agent's views as they arrive, and subscribes again whenever the stream ends. Never
/// returns.
pub async fn follow_views(proxy: Arc<Proxy>) {
    loop {
        // The error is not logged. If the agent stays unreachable, the proxy logs that its
        // configuration is no longer current.
        let _ = follow_stream(&proxy).await;
        proxy.timers.sleep(RECONNECT_PAUSE).await;
    }
}

/// Reports to the agent at a fixed interval and whenever a view has taken full effect. Never
/// returns.
pub async fn report_state(proxy: Arc<Proxy>) {
    loop {
        let report = Request::Report(ProxyReport {
            revision: proxy.fleet().snapshot.revision,
            open: proxy.open_requests(),
            draining: proxy.is_draining(),
            view: proxy.homes.completed_view(),
            sent: proxy.timers.now(),
        });
        let _ = proxy.peers.call(proxy.settings.agent, &report, REPORT_TIMEOUT).await;
        tokio::select! {
            () = proxy.timers.sleep(REPORT_INTERVAL) => {}
            () = proxy.homes.view_completed() => {}
        }
    }
}

async fn follow_stream(proxy: &Arc<Proxy>) -> Result<()> {
    let request =
        SubscribeRequest { revision: proxy.fleet().snapshot.revision, sent: proxy.timers.now() };
    let mut views =
        proxy.peers.subscribe(proxy.settings.agent, &Request::Subscribe(request)).await?;
    while let Some(view) = next_view(proxy, &mut views).await? {
        apply_view(proxy, view);
    }
    Ok(())
}

/// Waits for the next view; returns `None` if the stream has ended or no view arrives in time.
async fn next_view(proxy: &Proxy, views: &mut ReplyStream) -> Result<Option<View>> {
    tokio::select! {
        reply = views.next() => match reply? {
            Some(Reply::View(view)) => Ok(Some(*view)),
            _ => Ok(None),
        },
        () = proxy.timers.sleep(VIEW_TIMEOUT) => Ok(None),
    }
}

/// Applies a view from the agent, together with the configuration it carries if that is newer.
///
/// If the configuration is invalid, the current one stays in force.
pub fn apply_view(proxy: &Arc<Proxy>, mut view: View) {
    let current = proxy.fleet();
    let snapshot = match view.sections.take() {
        Some(sections) if current.snapshot.revision < view.revision => {
            compile(proxy, view.revision, &sections)
        }
        _ => None,
    };
    let changed = snapshot.is_some();
    let snapshot = snapshot.unwrap_or_else(|| current.snapshot.clone());
    let next = FleetView::from_view(snapshot, view);
    if changed {
        proxy
            .journal
            .record(Event::RevisionInForce, &[Field::number("revision", next.snapshot.revision.0)]);
    }
    proxy.set_view(next);
}

/// Compiles the sections of a revision; returns `None` and logs the first problem if they are
/// invalid.
fn compile(proxy: &Proxy, revision: Revision, bodies: &[SectionBody]) -> Option<Arc<Snapshot>> {
    match parse_stored(bodies.iter().map(SectionBody::named)) {
        Ok(document) => Some(Arc::new(Snapshot::new(revision, document))),
        Err(problems) => {
            let first = problems.first().map(ToString::to_string).unwrap_or_default();
            let fields = [Field::number("revision", revision.0), Field::text("problem", first)];
            proxy.journal.record(Event::RevisionRejected, &fields);
            None
        }
    }
}
