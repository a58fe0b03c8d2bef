use std::io::Write;
use std::net::SocketAddr;

use futures_util::future::join_all;
use http::StatusCode;
use serde_json::Value;

use crate::{Client, Entries, Error, Exit, Settings};

/// Shows what each entry that knows a request tells of it.
pub(super) async fn run(
    settings: &Settings,
    out: &mut dyn Write,
    err: &mut dyn Write,
) -> Result<Exit, Error> {
    let request = settings.words.first().map_or("", String::as_str);
    let path = format!("/explain/{}", escaped(request));
    let client = Client::new(settings.deadline)?;
    let entries = Entries::new(settings).list(&client).await?;
    let calls = entries.iter().map(|entry| ask(&client, *entry, &path));
    let answers = join_all(calls).await;

    let mut exit = Exit::Refused;
    for (entry, answer) in entries.iter().zip(answers) {
        match answer {
            Ok(Some(tale)) => {
                writeln!(out, "{entry}:\n{tale:#}")?;
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
        writeln!(out, "no entry knows this request")?;
    }
    Ok(exit)
}

async fn ask(client: &Client, entry: SocketAddr, path: &str) -> Result<Option<Value>, Error> {
    match client.get("explain", entry, path).await {
        Ok(tale) => Ok(Some(tale)),
        Err(Error::Status { status, .. }) if status == StatusCode::NOT_FOUND => Ok(None),
        Err(error) => Err(error),
    }
}

/// A path segment, percent-encoded.
fn escaped(text: &str) -> String {
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
