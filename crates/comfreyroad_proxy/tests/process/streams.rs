use super::site::Site;

fn events() -> String {
    (1..=10)
        .map(|number| format!("id: {number}\ndata: event {number}\n\n"))
        .collect()
}

#[test]
fn events_come_whole_and_in_order() {
    let site = Site::serving();
    let answer = site.ask("POST", "/events/stream", "");
    assert_eq!((answer.status(), answer.text()), (200, events()));
    assert!(answer.is_whole);
}

#[test]
fn a_stream_that_breaks_in_an_event_goes_on_after_the_last_whole_one() {
    let site = Site::serving();
    let answer = site.ask("POST", "/events/breaks/stream", "");
    assert_eq!(answer.text(), events());
    assert!(answer.is_whole);
    let runs = site.engine.requests();
    let runs: Vec<&str> = runs
        .iter()
        .filter(|it| it.path().contains("breaks"))
        .map(|it| it.header("last-event-id"))
        .collect();
    assert_eq!(runs, ["", "4"]);
}

#[test]
fn a_stream_that_nothing_can_go_on_with_does_not_look_whole() {
    let site = Site::serving();
    let answer = site.ask("POST", "/events/always/stream", "");
    assert!(!answer.is_whole);
    assert!(events().starts_with(&answer.text()));
}

#[test]
fn a_caller_goes_on_with_a_stream_by_its_last_event() {
    let site = Site::serving();
    let answer = site.ask("POST", "/events/stream", "Last-Event-Id: 7\r\n");
    let expected: String = (8..=10)
        .map(|it| format!("id: {it}\ndata: event {it}\n\n"))
        .collect();
    assert_eq!(answer.text(), expected);
}
