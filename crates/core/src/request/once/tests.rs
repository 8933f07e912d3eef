use super::*;
use test_case::test_case;

const NOW_MS: u64 = 1_800_000_000_000;

fn once(operation: u64) -> Once {
    Once::new(Operation(operation), "n1".into(), "POST", "/registo/slot/7")
}

fn answer() -> Answer {
    Answer {
        status: 201,
        content_type: None,
        body: b"slot 7".to_vec(),
    }
}

struct Case {
    record: Option<Record>,
    expected: Step,
}

#[test_case(Case { record: None, expected: Step::Create }; "first request")]
#[test_case(Case { record: Some(once(1).running_record(NOW_MS)), expected: Step::Run }; "own write whose answer was lost")]
#[test_case(Case { record: Some(once(2).running_record(NOW_MS)), expected: Step::InProgress }; "another host runs it")]
#[test_case(Case { record: Some(once(2).final_record(NOW_MS, State::Done(answer()))), expected: Step::Replay(answer()) }; "repeat after the answer")]
#[test_case(Case { record: Some(once(2).final_record(NOW_MS, State::Unknown)), expected: Step::OutcomeLost }; "repeat after a lost answer")]
#[test_case(Case { record: Some(once(2).running_record(NOW_MS - 86_400_000)), expected: Step::InProgress }; "end of the lifetime")]
#[test_case(Case { record: Some(once(2).running_record(NOW_MS - 86_400_001)), expected: Step::Replace }; "past the lifetime")]
fn a_repeat_never_runs_twice(case: Case) {
    assert_eq!(
        once(1).next_step(case.record.as_ref(), NOW_MS),
        case.expected
    );
}

#[test]
fn a_key_used_for_another_request_is_no_repeat() {
    let other = Once::new(Operation(2), "n1".into(), "POST", "/registo/slot/8");
    assert_eq!(
        once(1).next_step(Some(&other.running_record(NOW_MS)), NOW_MS),
        Step::KeyReused
    );
}

#[test]
fn an_equal_operation_of_another_host_is_not_mistaken_for_the_own() {
    let other = Once::new(Operation(1), "n2".into(), "POST", "/registo/slot/7");
    assert_eq!(
        once(1).next_step(Some(&other.running_record(NOW_MS)), NOW_MS),
        Step::InProgress
    );
}

#[test]
fn workspaces_do_not_share_records() {
    assert_ne!(table_key(&"a".into(), b"bk"), table_key(&"ab".into(), b"k"));
}
