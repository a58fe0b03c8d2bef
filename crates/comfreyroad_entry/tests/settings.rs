//! Settings: flags, environment, and all faults at once.

use comfreyroad_entry::settings::{Command, Fault, Settings, read};

const PAGE: &str = include_str!("../../../docs/OPERATIONS.md");
const KEY: &str = "00000000000000000000000000000000000000000000000000000000000000ff";

fn words(line: &str) -> Vec<String> {
    line.split_whitespace().map(str::to_owned).collect()
}

fn complete() -> String {
    format!(
        "--entry e1 --zone a --listen 127.0.0.1:1 --log 127.0.0.1:2 --vms 127.0.0.1:3 --session-keys {KEY}"
    )
}

fn run(line: &str, environment: impl Fn(&str) -> Option<String>) -> Result<Settings, Vec<Fault>> {
    match read(&words(line), environment)? {
        Command::Run(settings) => Ok(*settings),
        Command::Print(text) => panic!("printed {text}"),
    }
}

#[test]
fn flags_give_all_settings() {
    let settings = run(&complete(), |_| None).expect("the settings check");
    assert_eq!(&*settings.core.entry, "e1");
    assert_eq!(settings.core.session_keys.len(), 1);
    assert_eq!(settings.core.stale_after.as_millis(), 3000);
}

#[test]
fn a_flag_wins_over_the_environment() {
    let environment = |name: &str| match name {
        "COMFREYROAD_ENTRY" => Some("other".to_owned()),
        "COMFREYROAD_STALE_AFTER_MS" => Some("1500".to_owned()),
        _ => None,
    };
    let settings = run(&complete(), environment).expect("the settings check");
    assert_eq!(&*settings.core.entry, "e1");
    assert_eq!(settings.core.stale_after.as_millis(), 1500);
}

#[test]
fn all_faults_are_told_at_once_and_secrets_are_not() {
    let faults = run(
        "--zone a/b --listen nowhere --session-keys abc --max-calls 0",
        |_| None,
    )
    .expect_err("nothing of this checks");
    let text: Vec<String> = faults.iter().map(ToString::to_string).collect();
    for flag in [
        "entry",
        "zone",
        "listen",
        "log",
        "vms",
        "session-keys",
        "max-calls",
    ] {
        let names = |line: &&String| line.contains(&format!("--{flag} "));
        assert_eq!(text.iter().filter(names).count(), 1, "{flag} in {text:?}");
    }
    assert!(!text.concat().contains("abc"), "{text:?}");
}

#[test]
fn unknown_flags_and_words_are_faults() {
    assert!(run("--nonsense 1", |_| None).is_err());
    assert!(run(&(complete() + " word"), |_| None).is_err());
}

#[test]
fn the_page_has_each_flag() {
    let Ok(Command::Print(help)) = read(&words("--help"), |_| None) else {
        panic!("--help prints");
    };
    let flags = help
        .split_whitespace()
        .filter(|word| word.starts_with("--") && word.len() > 2);
    for flag in flags.filter(|flag| !["--help", "--version", "--peer-timeout-ms"].contains(flag)) {
        assert!(
            PAGE.contains(&format!("| `{flag}` |")),
            "{flag} is not in OPERATIONS.md"
        );
    }
}
