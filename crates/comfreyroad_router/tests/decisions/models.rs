use comfreyroad_router::answer::Verdict;
use comfreyroad_router::configuration::{Configuration, Customer, Idempotency};
use comfreyroad_router::record::{Content, Topic};
use comfreyroad_router::request::Rank;
use comfreyroad_router::upstream::Load;
use std::sync::Arc;

use super::rig::{MS, Rig, SECOND, configuration, good_answer, head, prompt, route};

/// The verdict on an answer with a confidence, and the model that is asked next.
fn ask(rig: &mut Rig, confidence: u8) -> (Verdict, Option<String>) {
    let sent = rig.send(head(rig.now, "stream", "r")).unwrap();
    assert_eq!(sent.stage().plan().model.as_deref(), Some("small"));
    let mut answer = good_answer(&sent);
    answer.confidence = Some(confidence);
    let verdict = rig.router.judge_answer(rig.now, &sent, &answer);
    let next = (verdict == Verdict::LowConfidence).then(|| {
        let request = rig.router.escalate(sent).unwrap();
        let again = rig.resend(request).unwrap();
        again
            .stage()
            .plan()
            .model
            .as_deref()
            .unwrap_or_default()
            .to_owned()
    });
    (verdict, next)
}

#[test]
fn low_confidence_answers_are_escalated_to_the_largest_model() {
    let mut rig = Rig::serving("e1");
    assert_eq!(ask(&mut rig, 100), (Verdict::Forward, None));
    assert_eq!(
        ask(&mut rig, 10),
        (Verdict::LowConfidence, Some("large".into()))
    );
}

/// The latency objective is one second.
#[test]
fn no_escalation_if_the_larger_model_would_be_late() {
    let mut rig = Rig::serving("e1");
    let mut ask = |tokens: u32, after: u32| {
        let mut head = head(rig.now, "stream", "r");
        head.prompt = prompt(&[("own", tokens)]);
        let sent = rig.send(head).unwrap();
        rig.advance(after * MS);
        let mut answer = good_answer(&sent);
        answer.confidence = Some(0);
        rig.router.judge_answer(rig.now, &sent, &answer)
    };
    // Without samples, 20,000 tokens are expected to take 400 ms.
    assert_eq!(ask(20_000, 200), Verdict::LowConfidence);
    assert_eq!(ask(20_000, 600), Verdict::Forward);
    assert_eq!(ask(100, 600), Verdict::LowConfidence);
    assert_eq!(ask(100, 950), Verdict::Forward);
}

/// Guards against late answers from escalation under load: one in ten answers was late, most of them from larger models that
/// were asked while engines were busy with long prompts.
#[test]
fn no_escalation_while_requests_queue_too_long_at_the_larger_model() {
    let mut rig = Rig::serving("e1");
    // Sends many requests at once that get low-confidence answers, and returns how many are escalated to a larger model whose
    // first event takes `wait` ms.
    let escalated = |rig: &mut Rig, wait: u32| {
        let sent: Vec<_> = (0..60)
            .filter_map(|_| rig.send(head(rig.now, "stream", "r")))
            .collect();
        let mut again = Vec::new();
        for sent in sent {
            let mut answer = good_answer(&sent);
            answer.confidence = Some(0);
            if rig.router.judge_answer(rig.now, &sent, &answer) == Verdict::LowConfidence {
                let request = rig.router.escalate(sent).unwrap();
                again.extend(rig.resend(request));
            }
        }
        rig.advance(wait * MS);
        again
            .iter_mut()
            .for_each(|it| rig.router.on_first_event(rig.now, it));
        again.len()
    };
    assert!(escalated(&mut rig, 100) > 20);
    assert!(escalated(&mut rig, 1_500) > 20);
    assert_eq!(escalated(&mut rig, 1_500), 0);
    // The queueing delay decays with time, so that escalation is tried again.
    rig.run_for(6 * SECOND);
    assert!(escalated(&mut rig, 50) > 20);
}

#[test]
fn run_once_requests_are_not_escalated() {
    let mut rig = Rig::serving("e1");
    let mut once = route("stream", Idempotency::Once);
    once.is_streaming = true;
    once.models = vec!["small".into(), "large".into()];
    let mut changed = configuration(2);
    changed.routes = vec![Arc::new(once)];
    rig.read(
        Topic::Operator,
        "config",
        Content::Configuration(Arc::new(changed)),
    );
    let sent = rig.send(head(rig.now, "stream", "r")).unwrap();
    let mut answer = good_answer(&sent);
    answer.confidence = Some(0);
    assert_eq!(
        rig.router.judge_answer(rig.now, &sent, &answer),
        Verdict::Forward
    );
}

#[test]
fn escalation_leaves_a_reserve_of_the_retry_budget() {
    let mut rig = Rig::serving("e1");
    let escalations = (0..60)
        .filter(|_| ask(&mut rig, 0).0 == Verdict::LowConfidence)
        .count();
    assert!(escalations < 300, "the budget is limited");
    assert!(
        rig.router
            .state()
            .retry_budgets
            .may_retry(rig.now.instant, &"pool".into())
    );
    rig.run_for(SECOND);
}

#[test]
fn a_model_named_by_the_caller_is_kept() {
    let mut rig = Rig::serving("e1");
    let mut named = head(rig.now, "stream", "r");
    named.model = Some("other".into());
    let sent = rig.send(named).unwrap();
    assert_eq!(sent.stage().plan().model, None);
}

/// A router with the route `urgent`, which is more urgent than `stream` and of the same pool.
fn with_urgent_route(change: impl Fn(&mut Configuration)) -> Rig {
    let mut rig = Rig::serving("e1");
    let mut urgent = route("urgent", Idempotency::Resumable);
    urgent.models = vec!["small".into(), "large".into()];
    urgent.priority = 0;
    let mut changed = configuration(2);
    changed.routes.push(Arc::new(urgent));
    change(&mut changed);
    let content = Content::Configuration(Arc::new(changed));
    rig.read(Topic::Operator, "config", content);
    rig
}

/// Sends a request and has it answered with a confidence by a pool of which so many of 64 slots are taken.
fn verdict(rig: &mut Rig, route: &str, (confidence, running): (u8, u32)) -> Verdict {
    let sent = rig.send(head(rig.now, route, "r")).unwrap();
    let mut answer = good_answer(&sent);
    answer.confidence = Some(confidence);
    answer.load = Some(Load {
        running,
        waiting: 0,
        slots: 64,
        work_time_percent: Load::USUAL_WORK_TIME,
        reported_at: rig.now.instant,
        own_requests: 0,
        is_relayed: false,
    });
    rig.router.judge_answer(rig.now, &sent, &answer)
}

#[test]
fn the_most_urgent_requests_keep_their_larger_models_longest() {
    let mut rig = with_urgent_route(|_| {});
    for (running, urgent, usual) in [
        (16, Verdict::LowConfidence, Verdict::LowConfidence),
        (56, Verdict::LowConfidence, Verdict::Forward),
        (100, Verdict::Forward, Verdict::Forward),
    ] {
        assert_eq!(
            verdict(&mut rig, "urgent", (50, running)),
            urgent,
            "{running}"
        );
        assert_eq!(
            verdict(&mut rig, "stream", (50, running)),
            usual,
            "{running}"
        );
        // While there is room, no request asks for more than the others.
        assert_eq!(verdict(&mut rig, "urgent", (70, running)), Verdict::Forward);
    }
}

#[test]
fn the_priorities_of_customers_go_before_those_of_routes() {
    let rank_of = |customers: &[Option<u8>]| {
        let mut rig = with_urgent_route(|configuration| {
            let customer = |priority: &Option<u8>| Customer {
                id: format!("{priority:?}").into(),
                api_keys: vec![format!("{priority:?}").into()],
                priority: *priority,
            };
            configuration.customers = Some(customers.iter().map(customer).collect());
        });
        let mut head = head(rig.now, "urgent", "r");
        head.key = Some(format!("{:?}", customers[0]).into());
        rig.admit(head).unwrap().stage().plan.rank
    };
    assert_eq!(rank_of(&[None]), Rank::First);
    assert_eq!(rank_of(&[Some(0)]), Rank::Usual, "all are equally urgent");
    assert_eq!(rank_of(&[Some(3), Some(9)]), Rank::First);
    assert_eq!(rank_of(&[Some(3), None]), Rank::Usual);
}

#[test]
fn a_long_prompt_is_not_among_the_most_urgent_requests() {
    let mut rig = with_urgent_route(|_| {});
    let mut rank_of = |tokens: u32| {
        let mut head = head(rig.now, "urgent", "r");
        head.prompt = prompt(&[("own", tokens)]);
        rig.admit(head).unwrap().stage().plan.rank
    };
    assert_eq!((rank_of(800), rank_of(16_000)), (Rank::First, Rank::Usual));
}
