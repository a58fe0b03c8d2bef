//! The rules file: its parsed values, and the position reported for each fault.

#[macro_use]
mod seeded;

use std::time::{Duration, SystemTime};

use comfreyroad::request::Class;
use comfreyroad::rules::{Draft, Fault, Fencing, PoolKind, Rules};

const HASH: &str = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";

/// A valid file with every kind of line; `KEY` is replaced by a hash.
const VALID: &str = "\
# The rules of a test.
format 1 after 41                                       # asked by ada
firm inkwell                                            # asked by ada: first of the two
zone mbj-a region=jm state=in                           # asked by ada
zone mbj-b state=out                                    # asked by bo: power works

pool drafting kind=engine bears=8 cold=1 fencing=checked # asked by ada
pool orders kind=service bears=40 cold=10               # asked by ada
version mona@1 pool=drafting cost=3000 share=10         # asked by bo
version mona@2 pool=drafting cost=3000 share=90         # asked by bo
version mona@0 pool=drafting cost=1 share=0 state=withdrawn # asked by bo
version mini@1 pool=drafting cost=400 share=100         # asked by bo
route draft models=mini,mona class=draft quality=0.9    # asked by ada
service orders pool=orders path=/orders class=lookup    # asked by ada
service payments pool=orders path=/orders/payments class=payment repeat=GET,HEAD # asked by ada
customer acme firm=inkwell key=KEY allow=mona@*,mini@1 quality=0.95 weight=3 # asked by ada
term end=2031-12-31T00:00:00Z                           # asked by both
";

fn check(text: &str) -> Result<Rules, Vec<Fault>> {
    let draft = Draft::new(text).parse()?.check()?;
    Ok(draft.rules().clone())
}

fn valid() -> String {
    VALID.replace("KEY", HASH)
}

/// The faults of the valid file after one replacement: line, column and expected text.
fn faults(from: &str, to: &str) -> Vec<(usize, usize, String)> {
    let text = valid();
    assert!(text.contains(from), "{from} is not in the file");
    let faults = check(&text.replacen(from, to, 1)).expect_err("the file has a fault");
    let places = faults.into_iter();
    places
        .map(|fault| (fault.line, fault.column, fault.expected))
        .collect()
}

fn one_fault(from: &str, to: &str) -> (usize, usize, String) {
    let mut faults = faults(from, to);
    assert_eq!(faults.len(), 1, "{faults:?}");
    faults.remove(0)
}

#[test]
fn reads_every_kind_of_line() {
    let rules = check(&valid()).expect("the file is valid");
    assert_eq!((rules.format, rules.after), (1, 41));
    assert!(rules.is_zone_in(&"mbj-a".into()) && !rules.is_zone_in(&"mbj-b".into()));
    assert_eq!(&*rules.zones["mbj-a"].region, "jm");
    assert_eq!(rules.pools["drafting"].kind, PoolKind::Engine);
    assert_eq!(rules.pools["drafting"].fencing, Fencing::Checked);
    assert_eq!(rules.pools["orders"].fencing, Fencing::Ignored);
    assert_eq!(rules.versions["mona@2"].share, 90);
    assert!(!rules.is_active(&"mona@0".into()));
    assert_eq!(rules.routes["draft"].class, Class::Draft);
    let payments = &rules.services[0];
    assert_eq!(
        &*payments.path, "/orders/payments",
        "services must be sorted by path length, longest first"
    );
    assert_eq!(payments.repeat.as_ref().map(Vec::len), Some(2));
    let customer = &rules.customers["acme"];
    assert!(customer.allows(&rules.versions["mona@1"]));
    assert!(customer.allows(&rules.versions["mini@1"]));
    assert_eq!((customer.weight, customer.quality), (3, Some(0.95)));
    assert_eq!(customer.keys[0][..2], [0x01, 0x23]);
    let end = SystemTime::UNIX_EPOCH + Duration::from_secs(1_956_441_600);
    assert_eq!(rules.term, Some(end));
}

#[test]
fn a_line_without_its_comment_is_a_fault() {
    let (line, column, expected) = one_fault("# asked by bo: power works", "");
    assert_eq!((line, column), (5, 21));
    assert!(expected.contains("asked by WHO"), "{expected}");
    assert_eq!(one_fault("# asked by bo: power works", "# bo asked").1, 57);
    assert_eq!(
        one_fault("# asked by bo: power works", "# asked by : power").0,
        5
    );
}

#[test]
fn all_faults_are_reported_at_once() {
    let text = valid();
    let text = text
        .replace("state=out", "stat=out")
        .replace("cold=10", "cold=ten");
    let faults = check(&text).expect_err("the file has faults");
    let places: Vec<_> = faults
        .iter()
        .map(|fault| (fault.line, fault.column))
        .collect();
    assert_eq!(places, [(5, 12), (5, 20), (8, 40)], "{faults:?}");
    assert_eq!(faults[0].to_string(), "5:12: `stat`: expected `state`");
}

#[test]
fn unknown_words_suggest_the_nearest() {
    assert_eq!(one_fault("firm inkwell", "frim inkwell").2, "`firm`");
    assert_eq!(one_fault("class=draft", "class=drafts").2, "`draft`");
    let (_, _, expected) = one_fault("zone mbj-b", "xylophone mbj-b");
    assert!(expected.starts_with("one of format, firm"), "{expected}");
}

#[test]
fn the_first_rule_must_be_the_format() {
    assert_eq!(one_fault("format 1 after 41", "#").0, 3);
    let newer = one_fault("format 1 after 41", "format 2 before 41");
    assert_eq!(newer.2, "format 1 or older");
    assert_eq!(faults("after 41", "41")[0].2, "`after`");
    let again = one_fault(
        "firm inkwell",
        "format 1 after 41 # asked by x\nfirm inkwell",
    );
    assert_eq!(again.2, "a single `format` line, before all other rules");
    assert_eq!(check("").expect_err("the file has a fault").len(), 1);
}

#[test]
fn values_out_of_range_are_faults() {
    assert_eq!(
        one_fault("cold=1 ", "cold=9 ").2,
        "at most 8, the value of `bears=`"
    );
    assert_eq!(one_fault("cold=1 ", "cold=0 ").2, "1 or more");
    assert_eq!(one_fault("quality=0.95", "quality=1.1").0, 16);
    assert_eq!(
        one_fault("quality=0.9 ", "quality=nan ").2,
        "a number from 0 to 1"
    );
    assert_eq!(one_fault("weight=3", "weight=0").2, "1 or more");
    assert_eq!(one_fault("share=90", "share=80").0, 10);
    assert!(one_fault(HASH, "abc").2.contains("hash-key"));
    assert_eq!(one_fault("2031-12-31T00:00:00Z", "2031-12-31").0, 17);
}

#[test]
fn duplicates_are_faults() {
    let zone = one_fault("zone mbj-b", "zone mbj-a");
    assert_eq!(zone.2, "a zone that line 4 does not already declare");
    let path = one_fault("path=/orders/payments", "path=/orders/");
    assert_eq!(path.2, "a path that no other service has");
    let key = one_fault(HASH, &format!("{HASH},{HASH}"));
    assert_eq!(key.2, "a key that appears only once in the file");
    let field = one_fault("kind=engine bears=8", "kind=engine bears=8 bears=9");
    assert_eq!(field.2, "each field at most once");
    let end = "term end=2031-12-31T00:00:00Z # asked by both\nterm";
    assert_eq!(one_fault("term", end).0, 18);
}

#[test]
fn unknown_references_are_faults() {
    let known = "a model or version declared in this file";
    assert_eq!(
        one_fault("firm=inkwell", "firm=other").2,
        "a firm declared in this file"
    );
    let pool = one_fault("pool=orders path", "pool=others path");
    assert_eq!(pool.2, "a pool declared in this file");
    let kind = one_fault("pool=orders path", "pool=drafting path");
    assert_eq!(kind.2, "a pool with `kind=service`");
    assert_eq!(one_fault("models=mini,mona", "models=mini,moan").1, 25);
    assert_eq!(one_fault("mini@1 quality", "mini@7 quality").2, known);
    assert_eq!(one_fault("allow=mona@*", "allow=lisa@*").2, known);
    assert!(
        one_fault("allow=mona@*", "allow=mona")
            .2
            .contains("model@version")
    );
}

#[test]
fn at_least_one_zone_is_required() {
    let text = "format 1 after 0 # asked by ada";
    assert_eq!(
        check(text).expect_err("the file has a fault")[0].expected,
        "a `zone` line"
    );
}

seeded! {
    fn random_text_never_panics(text: String) -> bool {
        let _ = check(&text);
        true
    }

    fn random_lines_never_panic(words: Vec<(u8, u8, String)>) -> bool {
        let pieces: Vec<String> = valid().split_whitespace().map(String::from).collect();
        let mut text = String::from("format 1 after 0 # asked by x\n");
        for (piece, gap, noise) in words {
            text.push_str(&pieces[usize::from(piece) % pieces.len()]);
            text.push_str(["", " ", "=", "\n", ",", "@", "#"][usize::from(gap) % 7]);
            text.push_str(&noise);
        }
        let _ = check(&text);
        true
    }

    fn fault_positions_lie_within_the_file(at: usize, byte: u8, is_cut: bool) -> bool {
        let mut bytes = valid().into_bytes();
        let at = at % bytes.len();
        if is_cut {
            bytes.truncate(at);
        } else {
            bytes[at] = byte;
        }
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let Err(faults) = check(&text) else {
            return true;
        };
        let widths: Vec<usize> = text.lines().map(|line| line.chars().count()).collect();
        faults.iter().all(|fault| {
            let width = widths.get(fault.line - 1).copied().unwrap_or_default();
            (1..=width + 1).contains(&fault.column)
        })
    }
}
