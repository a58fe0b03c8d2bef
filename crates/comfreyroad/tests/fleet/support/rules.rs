use std::fmt::Write;

/// Rules with one pool whose upstreams have a long warm-up.
pub(super) fn text(zones: usize) -> String {
    let mut text = String::from("format 1 after 0 # asked by mona\n");
    for zone in 0..zones {
        _ = writeln!(text, "zone zone-{zone} state=in # asked by mona");
    }
    let rules = [
        "firm inkwell",
        "pool drafting kind=engine bears=64 cold=4",
        "version mona@1 pool=drafting cost=100 share=100",
        "route draft models=mona class=draft quality=0.9",
    ];
    for rule in rules {
        _ = writeln!(text, "{rule} # asked by mona");
    }
    let key = "01".repeat(32);
    _ = writeln!(
        text,
        "customer author firm=inkwell key={key} allow=mona@* # asked by mona"
    );
    text
}
