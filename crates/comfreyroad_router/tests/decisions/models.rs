use comfreyroad_router::answer::Verdict;
use comfreyroad_router::configuration::Idempotency;
use comfreyroad_router::record::{Content, Topic};
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
fn with_urgent_route() -> Rig {
    let mut rig = Rig::serving("e1");
    let mut urgent = route("urgent", Idempotency::Resumable);
    urgent.models = vec!["small".into(), "large".into()];
    urgent.priority = 0;
    let mut changed = configuration(2);
    changed.routes.push(Arc::new(urgent));
    let content = Content::Configuration(Arc::new(changed));
    rig.read(Topic::Operator, "config", content);
    rig
}

/// The models that a number of requests of a route ask first, each answered with a confidence.
fn first_models(rig: &mut Rig, route: &str, confidence: u8, count: usize) -> Vec<String> {
    let ask = |number| {
        let sent = rig
            .send(head(rig.now, route, &format!("r{number}")))
            .unwrap();
        let model = sent.stage().plan().model.as_deref().unwrap_or_default();
        let model = model.to_owned();
        let mut answer = good_answer(&sent);
        answer.confidence = Some(confidence);
        rig.router.judge_answer(rig.now, &sent, &answer);
        model
    };
    (0..count).map(ask).collect()
}

#[test]
fn the_most_urgent_requests_ask_for_more_confidence() {
    let mut rig = with_urgent_route();
    let verdict = |rig: &mut Rig, route: &str| {
        let sent = rig.send(head(rig.now, route, "r")).unwrap();
        let mut answer = good_answer(&sent);
        answer.confidence = Some(70);
        rig.router.judge_answer(rig.now, &sent, &answer)
    };
    assert_eq!(verdict(&mut rig, "urgent"), Verdict::LowConfidence);
    assert_eq!(verdict(&mut rig, "stream"), Verdict::Forward);
}

/// Most answers of the small model to urgent requests were dropped, each of them an attempt of the retry budget.
#[test]
fn urgent_requests_ask_the_larger_model_first_where_the_smaller_one_hardly_ever_does() {
    let mut rig = with_urgent_route();
    let models = first_models(&mut rig, "urgent", 30, 60);
    assert!(models[..8].iter().all(|it| it == "small"), "{models:?}");
    let later = &models[20..];
    let large = later.iter().filter(|it| *it == "large").count();
    // Some requests ask the small model all the same, to see whether it does by now.
    assert!(
        large * 10 >= later.len() * 7 && large < later.len(),
        "{models:?}"
    );
    let models = first_models(&mut rig, "stream", 30, 40);
    assert!(models.iter().all(|it| it == "small"), "{models:?}");
    let mut rig = with_urgent_route();
    let models = first_models(&mut rig, "urgent", 90, 60);
    assert!(models.iter().all(|it| it == "small"), "{models:?}");
}
