use super::*;

/// Guards against many refusals crowding other events out of the timeline.
#[test]
fn refusals_are_counted_by_workspace_and_reason() {
    let journal = Journal::default();
    let refusal = Refusal::not_run(Reason::Rate).workspace("hoteis".into());
    for _ in 0..1_000 {
        journal.refused(&refusal);
    }
    journal.refused(&Refusal::not_run(Reason::NoKey));
    let expected = Kind::Refused {
        workspace: "hoteis".into(),
        reason: Reason::Rate,
        outcome: Outcome::NotRun,
        count: 1_000,
    };
    assert_eq!(journal.take(), [expected]);
    assert_eq!(journal.take(), []);
}
