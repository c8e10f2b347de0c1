//! The commands `status`, `drain`, `events` and `explain`.

use std::collections::BTreeMap;

use oleander_peer::messages::Reply;
use oleander_peer::messages::Request;
use oleander_runtime::logs::EventRecord;
use serde_json::Value;
use serde_json::json;

use crate::catalogue;
use crate::commands::GlobalOptions;
use crate::commands::documents;
use crate::errors::Result;
use crate::errors::unreachable_error;
use crate::errors::usage_error;
use crate::fleet;
use crate::fleet::Endpoint;
use crate::output::Output;

/// Shows the published revision, `null` if the store cannot be read, and the status of each
/// process.
pub(crate) async fn status(options: &GlobalOptions) -> Result<Output> {
    let endpoints = endpoints(options).await?;
    let published = match documents::read_stored(options).await {
        Ok(stored) => json!(stored.head.revision.0),
        Err(_) => Value::Null,
    };
    let mut lines = vec![format!("published revision: {published}")];
    let mut values = serde_json::Map::new();
    for (endpoint, reply) in fleet::query_all(&endpoints, &Request::Status).await {
        let value = match reply {
            Ok(Reply::Status(text)) => serde_json::from_str(&text).unwrap_or(Value::String(text)),
            Ok(_) => json!({"error": "the process has no status"}),
            Err(reason) => json!({"error": reason}),
        };
        lines.push(format!("{}: {value}", endpoint.name));
        values.insert(endpoint.name, value);
    }
    Ok(Output {
        text: lines.join("\n"),
        json: json!({"published": published, "processes": values}),
    })
}

/// Asks the agent of a registered VM to drain it.
pub(crate) async fn drain(options: &GlobalOptions, vm: &str) -> Result<Output> {
    let vms = fleet::registered_vms(&options.store()?).await?;
    let found = vms.iter().find(|candidate| candidate.name == vm);
    let agent = found.ok_or_else(|| usage_error(format!("no VM has registered as {vm}")))?.agent;
    let endpoint = Endpoint { name: format!("{vm}/agent"), address: agent };
    let replies = fleet::query_all(&[endpoint], &Request::Drain).await;
    match replies.into_iter().next() {
        Some((_, Ok(Reply::Accepted))) => {
            Ok(Output { text: format!("{vm} drains"), json: json!({"vm": vm, "draining": true}) })
        }
        Some((_, Err(reason))) => Err(unreachable_error(reason)),
        _ => Err(unreachable_error("the agent did not take the request")),
    }
}

/// Shows the recent events of all processes, or only those with `number` or of `vm`.
pub(crate) async fn events(
    options: &GlobalOptions,
    number: Option<u16>,
    vm: Option<&str>,
) -> Result<Output> {
    let mut endpoints = endpoints(options).await?;
    if let Some(vm) = vm {
        endpoints.retain(|endpoint| endpoint.name.split('/').next() == Some(vm));
    }
    let (mut records, silent) = fleet::events(&endpoints).await;
    records.retain(|record| number.is_none_or(|number| number == record.number));
    Ok(format_events(&records, &silent))
}

/// Shows the catalogue entry of an event number or name; for any other subject, the recent events
/// that have it as the value of a field.
pub(crate) async fn explain(options: &GlobalOptions, subject: &str) -> Result<Output> {
    if let Some(event) = catalogue::find(subject) {
        let entry = catalogue::entry(event);
        let entry = entry.ok_or_else(|| usage_error("the catalogue lacks the event"))?;
        let catalogue::Entry { meaning, remedy, .. } = entry;
        return Ok(Output {
            text: format!("{} {event}\n{meaning}\n{remedy}", event.number()),
            json: json!({
                "number": event.number(), "event": event.to_string(),
                "meaning": meaning, "remedy": remedy,
            }),
        });
    }
    let (mut records, silent) = fleet::events(&endpoints(options).await?).await;
    records.retain(|record| mentions(record, subject));
    Ok(format_events(&records, &silent))
}

/// Returns the endpoints that the operator gave, or else those of all registered VMs.
async fn endpoints(options: &GlobalOptions) -> Result<Vec<Endpoint>> {
    if options.peers.is_empty() {
        return Ok(fleet::endpoints(&fleet::registered_vms(&options.store()?).await?));
    }
    let endpoint =
        |address: &std::net::SocketAddr| Endpoint { name: address.to_string(), address: *address };
    Ok(options.peers.iter().map(endpoint).collect())
}

/// Returns `true` if a field of the record equals the subject as a text or a number.
fn mentions(record: &EventRecord, subject: &str) -> bool {
    let number = subject.parse::<u64>().ok();
    record.fields.values().any(|value| match value {
        Value::String(text) => text == subject,
        other => number.is_some() && other.as_u64() == number,
    })
}

fn format_events(records: &[EventRecord], silent: &BTreeMap<String, String>) -> Output {
    let mut lines: Vec<String> = records.iter().map(format_record).collect();
    lines.extend(silent.iter().map(|(name, reason)| format!("no answer from {name}: {reason}")));
    let text = if lines.is_empty() { "no events".to_owned() } else { lines.join("\n") };
    Output { text, json: json!({"events": records, "silent": silent}) }
}

fn format_record(record: &EventRecord) -> String {
    let EventRecord { unix_ms, program, number, event, fields, .. } = record;
    let fields: Vec<String> =
        fields.iter().map(|(name, value)| format!("{name}={value}")).collect();
    format!("{unix_ms} {program} {number} {event} {}", fields.join(" ")).trim_end().to_owned()
}
