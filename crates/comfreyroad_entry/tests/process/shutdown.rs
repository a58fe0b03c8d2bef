//! Tests of a shutdown by `SIGTERM` under streaming load: no answer is cut off.

use std::time::{Duration, Instant};

use comfreyroad::record::{Record, Stream};
use comfreyroad_net::client::Sent;
use comfreyroad_net::runtime;
use futures_util::future::{join, join_all};

use crate::site::{Site, is_complete};

/// Number of streams in progress at the signal.
const STREAMS: usize = 24;
/// Tokens of each stream; a token takes about 5 ms or more.
const TOKENS: u32 = 200;

/// Outcome of one request.
#[derive(Debug, PartialEq, Eq)]
enum Outcome {
    Complete,
    Refused,
    NotConnected,
    Cut(String),
}

async fn stream(site: &Site, id: String, tokens: u32) -> Outcome {
    let answer = match site.chat(&id, tokens).await {
        Ok(answer) => answer,
        Err(error) if error.sent == Sent::No => return Outcome::NotConnected,
        Err(error) => return Outcome::Cut(format!("{id}: {error}")),
    };
    let status = answer.status();
    match site.read(answer).await {
        Ok(body) if status == 200 && is_complete(&body, tokens) => Outcome::Complete,
        Ok(body) if status == 503 && String::from_utf8_lossy(&body).contains(r#""ran":"no""#) => {
            Outcome::Refused
        }
        Ok(body) => Outcome::Cut(format!("{id}: {status} {}", String::from_utf8_lossy(&body))),
        Err(error) => Outcome::Cut(format!("{id}: {error}")),
    }
}

/// Sends short requests one after another, from before the signal until the listener is closed.
async fn send_short_requests(site: &Site) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    let until = Instant::now() + Duration::from_secs(10);
    while Instant::now() < until {
        let outcome = stream(site, format!("short-{}", outcomes.len()), 3).await;
        let is_last = outcome == Outcome::NotConnected;
        outcomes.push(outcome);
        if is_last {
            break;
        }
        compio::time::sleep(Duration::from_millis(5)).await;
    }
    outcomes
}

#[test]
fn a_graceful_shutdown_cuts_no_stream() {
    runtime::run(async {
        let mut site = Site::start().await;
        let streams = (0..STREAMS).map(|index| stream(&site, format!("long-{index}"), TOKENS));
        let signal = async {
            compio::time::sleep(Duration::from_millis(300)).await;
            site.signal("-TERM");
            compio::time::sleep(Duration::from_millis(100)).await;
            site.get("/health/ready").await.map(|(status, _)| status)
        };
        let ((long, short), ready) =
            join(join(join_all(streams), send_short_requests(&site)), signal).await;
        assert_eq!(ready, Some(503), "not ready, but still serving");
        let cut: Vec<&Outcome> = long
            .iter()
            .chain(&short)
            .filter(|outcome| matches!(outcome, Outcome::Cut(_)))
            .collect();
        assert!(cut.is_empty(), "{cut:?}");
        assert!(
            long.iter().all(|outcome| *outcome == Outcome::Complete),
            "{long:?}"
        );
        let count = |wanted: &Outcome| short.iter().filter(|outcome| *outcome == wanted).count();
        println!(
            "short requests: {} complete, {} refused as not run",
            count(&Outcome::Complete),
            count(&Outcome::Refused)
        );
        assert!(count(&Outcome::Complete) > 0 && count(&Outcome::Refused) > 0);
        assert!(site.wait_for_exit().await.success());
        let rules = site.records(Stream::Rules).await;
        let gone = rules
            .iter()
            .filter(|record| matches!(record, Record::Gone { cut, .. } if cut.is_empty()));
        assert_eq!(gone.count(), 1);
        let ledger = site.records(Stream::Ledger).await;
        let bills = ledger
            .iter()
            .filter(|record| matches!(record, Record::Bill(_)));
        assert_eq!(bills.count(), STREAMS + count(&Outcome::Complete));
    })
    .expect("a loop");
}

#[test]
fn a_second_signal_ends_the_entry_and_lists_the_cut_requests() {
    runtime::run(async {
        let mut site = Site::start().await;
        let signals = async {
            for _ in 0..2 {
                compio::time::sleep(Duration::from_millis(300)).await;
                site.signal("-TERM");
            }
        };
        let (outcome, ()) = join(stream(&site, "long".into(), 3_000), signals).await;
        assert!(matches!(outcome, Outcome::Cut(_)), "{outcome:?}");
        assert!(site.wait_for_exit().await.success());
        let rules = site.records(Stream::Rules).await;
        let listed = rules.iter().any(|record| {
            matches!(record, Record::Gone { cut, .. } if cut.len() == 1 && &*cut[0].request == "long")
        });
        assert!(listed, "{rules:?}");
    })
    .expect("a loop");
}
