//! The list of changes between two generations of the rules.

use comfreyroad::rules::{Change, Draft, Rules};

const OLD: &str = "\
format 1 after 0 # asked by ada
firm inkwell # asked by ada
zone a state=in # asked by ada
zone b state=out # asked by ada
pool engines kind=engine bears=8 cold=1 # asked by ada
version mona@1 pool=engines cost=3000 share=90 # asked by ada
version mona@2 pool=engines cost=3000 share=10 # asked by ada
version mini@1 pool=engines cost=400 share=100 # asked by ada
";

fn rules(text: &str) -> Rules {
    let draft = Draft::new(text).parse().and_then(Draft::check);
    draft.expect("the file is valid").rules().clone()
}

fn lines(old: &str, new: &str) -> Vec<String> {
    let changes = rules(old).diff(&rules(new));
    changes.iter().map(Change::to_string).collect()
}

#[test]
fn the_same_rules_change_nothing() {
    assert!(lines(OLD, &OLD.replace("after 0", "after 1")).is_empty());
}

#[test]
fn each_change_is_one_line() {
    let new = OLD
        .replace("zone a state=in", "zone a state=out")
        .replace("zone b state=out", "zone b state=in")
        .replace("cold=1", "cold=2")
        .replace("share=90", "share=90 state=withdrawn")
        .replace("share=10 ", "share=100 ")
        .replace(
            "version mini@1 pool=engines cost=400 share=100 # asked by ada\n",
            "",
        );
    let new = new + "term end=2031-12-31T00:00:00Z # asked by ada\n";
    let expected = [
        "zone a out",
        "zone b in",
        "pool engines changed: cold",
        "version mona@1 withdrawn",
        "version mona@2 share 10 -> 100",
        "version mini@1 removed",
        "term none -> 2031-12-31T00:00:00Z",
    ];
    assert_eq!(lines(OLD, &new), expected);
    let back = lines(&new, OLD);
    assert!(
        back.contains(&"version mona@1 active again".into()),
        "{back:?}"
    );
    assert!(back.contains(&"version mini@1 added".into()), "{back:?}");
}
