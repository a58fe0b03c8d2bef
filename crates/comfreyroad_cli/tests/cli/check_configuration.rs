//! Tests of `check-configuration`.

use std::fs;

use crate::support::run_command;
use comfreyroad_cli::Exit;

const SOUND: &str = r#"{"version":3,
 "routes":[{"name":"r","host":"h","path_prefix":"/r/","kind":"idempotent","timeout_ms":900,"target_latency_ms":100,
  "service":"pool"}],
 "services":[{"name":"pool","max_conns":8}],"tenants":[{"name":"t","api_keys":["hidden"]}]}"#;

/// Writes a file for one test and returns its path.
fn file(name: &str, text: &str) -> String {
    let folder = env!("CARGO_TARGET_TMPDIR");
    let path = format!("{folder}/check-configuration-{}-{name}", std::process::id());
    fs::write(&path, text).expect("a file");
    path
}

#[test]
fn warnings_alone_do_not_refuse() {
    let sound = file("sound.json", SOUND);
    let (exit, out, _) = run_command(&format!("check-configuration {sound}"));
    assert_eq!(
        (exit, out),
        (Exit::Ok, format!("{sound}: errors: 0, warnings: 0\n"))
    );
    let slow = file("slow.json", &SOUND.replace(":100,", ":1000,"));
    let (exit, out, _) = run_command(&format!("check-configuration {slow}"));
    assert_eq!(exit, Exit::Ok);
    let warning = "warning: route 1 `r`: the latency objective, 1s, exceeds the timeout, 900ms";
    assert_eq!(
        out,
        format!("{slow}: {warning}\n{slow}: errors: 0, warnings: 1\n")
    );
}

#[test]
fn errors_come_first_and_refuse() {
    let text = SOUND
        .replace(":900", ":50")
        .replace("\"service\":\"pool\"", "\"service\":\"gone\"");
    let (exit, out, _) = run_command(&format!("check-configuration {}", file("gone.json", &text)));
    assert_eq!(exit, Exit::Refused);
    let lines: Vec<&str> = out.lines().collect();
    assert!(
        lines[0].ends_with("error: route 1 `r`: service `gone` does not exist"),
        "{out}"
    );
    assert!(lines[3].ends_with("errors: 1, warnings: 2"), "{out}");
}

#[test]
fn differences_from_the_version_in_force_are_shown() {
    let in_force = file("in-force.json", SOUND);
    let text = SOUND
        .replace(":3,", ":4,")
        .replace(":900", ":950")
        .replace("hidden", "hidden-2");
    let new = file("new.json", &text);
    let (exit, out, _) = run_command(&format!("check-configuration {new} --in-force {in_force}"));
    assert_eq!(exit, Exit::Ok, "{out}");
    let changes = "    configuration: generation: 3 -> 4\n    route 1 `r`: timeout: 900ms -> 950ms\n    \
                   customer 1 `t`: API keys: 1 -> 1 (1 added, 1 removed)\n";
    assert!(
        out.ends_with(&format!("changes from {in_force}: 3\n{changes}")),
        "{out}"
    );
    let (exit, out, _) = run_command(&format!("check-configuration {in_force} --in-force {new}"));
    assert_eq!(exit, Exit::Refused);
    assert!(
        out.contains("generation 3 is not higher than generation 4"),
        "{out}"
    );
}

#[test]
fn files_that_cannot_be_read_or_decoded_are_refused() {
    let (sound, broken) = (
        file("old.json", SOUND),
        file("broken.json", "{\"version\":3,\n]"),
    );
    let line = format!("check-configuration {sound} --in-force {broken}");
    let (exit, out, _) = run_command(&line);
    assert_eq!(exit, Exit::Refused);
    assert!(
        out.contains(&format!("{broken}: error: line 2, column 1: ")),
        "{out}"
    );
    assert!(out.contains("changes: not compared"), "{out}");
    let (exit, _, err) = run_command("check-configuration nowhere.json");
    assert_eq!(exit, Exit::Refused);
    assert!(err.contains("nowhere.json"), "{err}");
    assert_eq!(
        run_command(&format!("check-configuration {sound} {broken}")).0,
        Exit::Usage
    );
}
