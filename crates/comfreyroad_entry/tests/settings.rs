//! Tests of the settings: flags, environment variables, and faults that are reported together.

use comfreyroad_entry::settings::{Command, Fault, Settings, read};

const OPERATIONS_PAGE: &str = include_str!("../../../docs/OPERATIONS.md");
const KEY: &str = "00000000000000000000000000000000000000000000000000000000000000ff";

fn split(line: &str) -> Vec<String> {
    line.split_whitespace().map(str::to_owned).collect()
}

fn required_flags() -> String {
    format!(
        "--entry e1 --zone a --listen 127.0.0.1:1 --log 127.0.0.1:2 --vms 127.0.0.1:3 --session-keys {KEY}"
    )
}

fn read_settings(
    line: &str,
    environment: impl Fn(&str) -> Option<String>,
) -> Result<Settings, Vec<Fault>> {
    match read(&split(line), environment)? {
        Command::Run(settings) => Ok(*settings),
        Command::Print(text) => panic!("printed {text}"),
    }
}

#[test]
fn flags_give_all_settings() {
    let settings = read_settings(&required_flags(), |_| None).expect("valid settings");
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
    let settings = read_settings(&required_flags(), environment).expect("valid settings");
    assert_eq!(&*settings.core.entry, "e1");
    assert_eq!(settings.core.stale_after.as_millis(), 1500);
}

#[test]
fn all_faults_are_reported_at_once_without_secrets() {
    let faults = read_settings(
        "--zone a/b --listen nowhere --session-keys abc --max-calls 0",
        |_| None,
    )
    .expect_err("invalid settings");
    let messages: Vec<String> = faults.iter().map(ToString::to_string).collect();
    for flag in [
        "entry",
        "zone",
        "listen",
        "log",
        "vms",
        "session-keys",
        "max-calls",
    ] {
        let names = |message: &&String| message.contains(&format!("--{flag} "));
        assert_eq!(
            messages.iter().filter(names).count(),
            1,
            "{flag} in {messages:?}"
        );
    }
    assert!(!messages.concat().contains("abc"), "{messages:?}");
}

#[test]
fn unknown_flags_and_arguments_are_faults() {
    assert!(read_settings("--nonsense 1", |_| None).is_err());
    assert!(read_settings(&(required_flags() + " word"), |_| None).is_err());
}

#[test]
fn the_operations_page_lists_each_flag() {
    let Ok(Command::Print(help)) = read(&split("--help"), |_| None) else {
        panic!("--help prints");
    };
    let flags = help
        .split_whitespace()
        .filter(|word| word.starts_with("--") && word.len() > 2);
    for flag in flags.filter(|flag| !["--help", "--version", "--peer-timeout-ms"].contains(flag)) {
        assert!(
            OPERATIONS_PAGE.contains(&format!("| `{flag}` |")),
            "{flag} is not in OPERATIONS.md"
        );
    }
}
