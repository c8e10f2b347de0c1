//! `status`, `drain`, `events` and `explain`.

use std::collections::BTreeMap;

use oleander_peer::messages::Reply;
use oleander_peer::messages::Request;
use oleander_runtime::logs::EventRecord;
use serde_json::Value;
use serde_json::json;

use crate::catalogue;
use crate::commands::Source;
use crate::commands::documents;
use crate::errors::Result;
use crate::errors::unreachable;
use crate::errors::usage;
use crate::fleet;
use crate::fleet::Endpoint;
use crate::output::Answer;

/// Shows the published revision and the state of each process.
pub(crate) async fn status(source: &Source) -> Result<Answer> {
    let endpoints = endpoints(source).await?;
    let published = match documents::read_stored(source).await {
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
    Ok(Answer {
        text: lines.join("\n"),
        json: json!({"published": published, "processes": values}),
    })
}

/// Asks a VM to drain.
pub(crate) async fn drain(source: &Source, vm: &str) -> Result<Answer> {
    let vms = fleet::registered(&source.store()?).await?;
    let found = vms.iter().find(|candidate| candidate.name == vm);
    let agent = found.ok_or_else(|| usage(format!("no VM has registered as {vm}")))?.agent;
    let endpoint = Endpoint { name: format!("{vm}/agent"), address: agent };
    let replies = fleet::query_all(&[endpoint], &Request::Drain).await;
    match replies.into_iter().next() {
        Some((_, Ok(Reply::Accepted))) => {
            Ok(Answer { text: format!("{vm} drains"), json: json!({"vm": vm, "draining": true}) })
        }
        Some((_, Err(reason))) => Err(unreachable(reason)),
        _ => Err(unreachable("the agent did not take the request")),
    }
}

/// Shows recent events.
pub(crate) async fn events(
    source: &Source,
    number: Option<u16>,
    vm: Option<&str>,
) -> Result<Answer> {
    let mut endpoints = endpoints(source).await?;
    if let Some(vm) = vm {
        endpoints.retain(|endpoint| endpoint.name.split('/').next() == Some(vm));
    }
    let (mut records, silent) = fleet::events(&endpoints).await;
    records.retain(|record| number.is_none_or(|number| number == record.number));
    Ok(describe(&records, &silent))
}

/// Explains an event number or name, or tells what was recorded about a subject.
pub(crate) async fn explain(source: &Source, subject: &str) -> Result<Answer> {
    if let Some(event) = catalogue::find(subject) {
        let entry = catalogue::entry(event);
        let entry = entry.ok_or_else(|| usage("the catalogue lacks the event"))?;
        let catalogue::Entry { meaning, remedy, .. } = entry;
        return Ok(Answer {
            text: format!("{} {event}\n{meaning}\n{remedy}", event.number()),
            json: json!({
                "number": event.number(), "event": event.to_string(),
                "meaning": meaning, "remedy": remedy,
            }),
        });
    }
    let (mut records, silent) = fleet::events(&endpoints(source).await?).await;
    records.retain(|record| mentions(record, subject));
    Ok(describe(&records, &silent))
}

async fn endpoints(source: &Source) -> Result<Vec<Endpoint>> {
    if source.peers.is_empty() {
        return Ok(fleet::endpoints(&fleet::registered(&source.store()?).await?));
    }
    let endpoint =
        |address: &std::net::SocketAddr| Endpoint { name: address.to_string(), address: *address };
    Ok(source.peers.iter().map(endpoint).collect())
}

fn mentions(record: &EventRecord, subject: &str) -> bool {
    let number = subject.parse::<u64>().ok();
    record.fields.values().any(|value| match value {
        Value::String(text) => text == subject,
        other => number.is_some() && other.as_u64() == number,
    })
}

fn describe(records: &[EventRecord], silent: &BTreeMap<String, String>) -> Answer {
    let mut lines: Vec<String> = records.iter().map(line).collect();
    lines.extend(silent.iter().map(|(name, reason)| format!("no answer from {name}: {reason}")));
    let text = if lines.is_empty() { "no events".to_owned() } else { lines.join("\n") };
    Answer { text, json: json!({"events": records, "silent": silent}) }
}

fn line(record: &EventRecord) -> String {
    let EventRecord { unix_ms, program, number, event, fields, .. } = record;
    let fields: Vec<String> =
        fields.iter().map(|(name, value)| format!("{name}={value}")).collect();
    format!("{unix_ms} {program} {number} {event} {}", fields.join(" ")).trim_end().to_owned()
}
