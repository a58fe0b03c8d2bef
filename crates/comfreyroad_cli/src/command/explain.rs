use std::io::Write;
use std::net::SocketAddr;

use futures_util::future::join_all;
use http::StatusCode;
use serde_json::Value;

use crate::{Client, Entries, Error, Exit, Settings};

/// Prints the trace of a request from each entry that has one.
pub(super) async fn run(
    settings: &Settings,
    out: &mut dyn Write,
    err: &mut dyn Write,
) -> Result<Exit, Error> {
    let request = settings.arguments.first().map_or("", String::as_str);
    let path = format!("/explain/{}", percent_encode(request));
    let client = Client::new(settings.deadline)?;
    let entries = Entries::new(settings).list(&client).await?;
    let calls = entries.iter().map(|entry| fetch(&client, *entry, &path));
    let answers = join_all(calls).await;

    let mut exit = Exit::Refused;
    for (entry, answer) in entries.iter().zip(answers) {
        match answer {
            Ok(Some(trace)) => {
                writeln!(out, "{entry}:\n{trace:#}")?;
                exit = Exit::Ok;
            }
            Ok(None) => {}
            Err(error) => {
                writeln!(err, "comfreyroad: {error}")?;
                if exit == Exit::Refused {
                    exit = Exit::Unreachable;
                }
            }
        }
    }
    if exit == Exit::Refused {
        writeln!(out, "no entry has a trace of this request")?;
    }
    Ok(exit)
}

async fn fetch(client: &Client, entry: SocketAddr, path: &str) -> Result<Option<Value>, Error> {
    match client.get("explain", entry, path).await {
        Ok(trace) => Ok(Some(trace)),
        Err(Error::Status { status, .. }) if status == StatusCode::NOT_FOUND => Ok(None),
        Err(error) => Err(error),
    }
}

/// Percent-encodes a path segment.
fn percent_encode(text: &str) -> String {
    let mut escaped = String::new();
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            escaped.push(char::from(byte));
        } else {
            escaped += &format!("%{byte:02X}");
        }
    }
    escaped
}
