use std::time::Duration;

use comfreyroad_fakes::fleet::Fleet;
use comfreyroad_fakes::load;
use comfreyroad_fakes::options::Options;

use crate::client::run;

fn args(args: &[&str]) -> Vec<String> {
    args.iter().map(|arg| (*arg).to_owned()).collect()
}

#[test]
fn engine_pairs_are_parsed_into_settings() {
    let engine = "id=eng-1,pool=drafting,zone=a,address=127.0.1.1:0,versions=mini@1+mona@2,slots=4,cold=1,\
                  warm_ms=5000,fencing=ignored,quality.mini@1=0.7";
    let options = Options::parse(&args(&["--engine", engine, "--delay-ms", "3"])).unwrap();
    let (vm, settings) = &options.engines[0];
    assert_eq!((vm.pool.as_str(), vm.zone.as_str()), ("drafting", "a"));
    assert_eq!(settings.versions, ["mini@1", "mona@2"]);
    assert_eq!(settings.capacity.warm_up, Duration::from_secs(5));
    assert_eq!(settings.good_share["mini@1"], 0.7);
    run(async { assert_eq!(Fleet::start(&options).unwrap().servers.len(), 1) });
}

#[test]
fn command_line_flags_are_added_to_those_of_the_file() {
    let path = std::env::temp_dir().join(format!("fakes-{}.conf", std::process::id()));
    std::fs::write(
        &path,
        "# a comment\nlog 127.0.0.1:7001\n\nentry id=ent-1,zone=a,address=x\n",
    )
    .unwrap();
    let file = path.to_str().unwrap();
    let parsed = Options::parse(&args(&[
        "--config",
        file,
        "--entry",
        "id=ent-2,zone=b,address=y",
    ]));
    std::fs::remove_file(&path).unwrap();
    let options = parsed.unwrap();
    assert_eq!(options.log.as_deref(), Some("127.0.0.1:7001"));
    let ids: Vec<_> = options
        .entries
        .iter()
        .map(|entry| entry.id.as_str())
        .collect();
    assert_eq!(ids, ["ent-1", "ent-2"]);
}

#[test]
fn one_error_lists_every_invalid_value() {
    let service = "id=ord-1,zone=a,address=x,slots=many,colour=red";
    let err = Options::parse(&args(&["--seed", "x", "--service", service]))
        .unwrap_err()
        .to_string();
    for part in [
        "--seed x",
        "pool is missing",
        "slots=many",
        "colour is unknown",
    ] {
        assert!(err.contains(part), "missing {part} in: {err}");
    }
    let err = load::Options::parse(&args(&["--rate", "0", "--profile", "x"]))
        .unwrap_err()
        .to_string();
    for part in ["--to is missing", "--rate", "--profile x"] {
        assert!(err.contains(part), "missing {part} in: {err}");
    }
}

#[test]
fn a_customer_may_be_restricted_to_a_profile() {
    let options =
        load::Options::parse(&args(&["--to", "x", "--customers", "inkwell/ada:k,bob:k"])).unwrap();
    let sends = |customer: usize, profile: usize| {
        options.customers[customer].sends(&options.profiles[profile])
    };
    assert_eq!((sends(0, 0), sends(0, 1), sends(1, 1)), (true, false, true));
    let bad = args(&[
        "--to",
        "x",
        "--profile",
        "inkwell",
        "--customers",
        "tahtiaskel/ada:k",
    ]);
    assert!(load::Options::parse(&bad).is_err());
}
