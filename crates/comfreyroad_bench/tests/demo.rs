//! Demonstration run of both firms through three entries, without faults.

use std::path::Path;
use std::time::Duration;

use comfreyroad_bench::binaries::Binaries;
use comfreyroad_bench::demo::Demo;
use comfreyroad_net::runtime;

#[test]
fn without_faults_every_answer_is_whole_and_billed_once() {
    let program = Path::new(env!("CARGO_BIN_EXE_comfreyroad-bench"));
    let binaries = Binaries::beside(program).expect("build the workspace's programs first");
    let demo = Demo::default()
        .with_duration(Duration::from_secs(3))
        .with_seed(7);
    let report = runtime::run(demo.run(&binaries)).unwrap().unwrap();
    println!("{report:?}");
    assert!(report.requests > 30, "{report:?}");
    assert_eq!(
        report.whole + report.refused_not_run,
        report.requests,
        "{report:?}"
    );
    assert_eq!(
        (report.wrong, report.doubled, report.refused_maybe),
        (0, 0, 0),
        "{report:?}"
    );
    assert_eq!(report.billed, report.whole, "{report:?}");
    assert!(report.cost > 0, "{report:?}");
}
