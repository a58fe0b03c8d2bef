//! `SIGTERM` under streaming load: nothing is cut.

use std::time::{Duration, Instant};

use comfreyroad::record::{Record, Stream};
use comfreyroad_net::client::Sent;
use comfreyroad_net::runtime;
use futures_util::future::{join, join_all};

use crate::site::{Site, is_whole};

/// Streams that run when the signal comes.
const STREAMS: usize = 24;
/// Tokens of each; one takes about 5 ms or more.
const TOKENS: u32 = 200;

/// How one request ended.
#[derive(Debug, PartialEq, Eq)]
enum End {
    Whole,
    Refused,
    NotConnected,
    Cut(String),
}

async fn stream(site: &Site, id: String, tokens: u32) -> End {
    let answer = match site.chat(&id, tokens).await {
        Ok(answer) => answer,
        Err(error) if error.sent == Sent::No => return End::NotConnected,
        Err(error) => return End::Cut(format!("{id}: {error}")),
    };
    let status = answer.status();
    match site.read(answer).await {
        Ok(body) if status == 200 && is_whole(&body, tokens) => End::Whole,
        Ok(body) if status == 503 && String::from_utf8_lossy(&body).contains(r#""ran":"no""#) => {
            End::Refused
        }
        Ok(body) => End::Cut(format!("{id}: {status} {}", String::from_utf8_lossy(&body))),
        Err(error) => End::Cut(format!("{id}: {error}")),
    }
}

/// Short requests, one after another, from before the signal until the listener is gone.
async fn keep_asking(site: &Site) -> Vec<End> {
    let mut ends = Vec::new();
    let until = Instant::now() + Duration::from_secs(10);
    while Instant::now() < until {
        let end = stream(site, format!("short-{}", ends.len()), 3).await;
        let is_last = end == End::NotConnected;
        ends.push(end);
        if is_last {
            break;
        }
        compio::time::sleep(Duration::from_millis(5)).await;
    }
    ends
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
            join(join(join_all(streams), keep_asking(&site)), signal).await;
        assert_eq!(ready, Some(503), "not ready, and still answering");
        let cut: Vec<&End> = long
            .iter()
            .chain(&short)
            .filter(|end| matches!(end, End::Cut(_)))
            .collect();
        assert!(cut.is_empty(), "{cut:?}");
        assert!(long.iter().all(|end| *end == End::Whole), "{long:?}");
        let count = |wanted: &End| short.iter().filter(|end| *end == wanted).count();
        println!(
            "short requests: {} whole, {} refused as not run",
            count(&End::Whole),
            count(&End::Refused)
        );
        assert!(count(&End::Whole) > 0 && count(&End::Refused) > 0);
        assert!(site.ended().await.success());
        let rules = site.records(Stream::Rules).await;
        let gone = rules
            .iter()
            .filter(|record| matches!(record, Record::Gone { cut, .. } if cut.is_empty()));
        assert_eq!(gone.count(), 1);
        let ledger = site.records(Stream::Ledger).await;
        let bills = ledger
            .iter()
            .filter(|record| matches!(record, Record::Bill(_)));
        assert_eq!(bills.count(), STREAMS + count(&End::Whole));
    })
    .expect("a loop");
}

#[test]
fn a_second_signal_ends_it_and_lists_the_rest() {
    runtime::run(async {
        let mut site = Site::start().await;
        let signals = async {
            for _ in 0..2 {
                compio::time::sleep(Duration::from_millis(300)).await;
                site.signal("-TERM");
            }
        };
        let (end, ()) = join(stream(&site, "long".into(), 3_000), signals).await;
        assert!(matches!(end, End::Cut(_)), "{end:?}");
        assert!(site.ended().await.success());
        let rules = site.records(Stream::Rules).await;
        let listed = rules.iter().any(|record| {
            matches!(record, Record::Gone { cut, .. } if cut.len() == 1 && &*cut[0].request == "long")
        });
        assert!(listed, "{rules:?}");
    })
    .expect("a loop");
}
