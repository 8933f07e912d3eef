use super::*;
use crate::request::share::Demand;
use test_case::test_case;

/// Workspace that asks for more than its share, and one that asks for less.
const LARGE: u32 = 1;
const SMALL: u32 = 2;

/// Returns a gate of a service that refuses half of the requests, nine in ten from `LARGE`.
fn full_gate() -> (Instant, Gate) {
    let mut gate = Gate::default();
    let mut now = Instant::ZERO;
    for number in 0..100 {
        now = now + Duration::from_millis(10);
        let workspace = if number % 10 == 0 { SMALL } else { LARGE };
        gate.shares
            .record(now, Some(workspace), Caller::First, number % 2 == 0);
        if number % 2 == 0 {
            gate.shares.on_answer(now);
        }
        gate.callers.record(now, Caller::First, number % 20 == 1);
        gate.callers.record(now, Caller::Returning, true);
    }
    let demand = |workspace, own| Demand {
        workspace,
        own,
        total: 10.0 * own,
        rate: 0.0,
    };
    let demands = [demand(LARGE, 90.0), demand(SMALL, 10.0)];
    gate.shares.update(now, &demands);
    (now, gate)
}

/// Guards against requests of small workspaces that are refused because of a large one.
#[test_case(LARGE, Caller::First, 0.9 => Allowance::Shorter; "beyond the share")]
#[test_case(LARGE, Caller::First, 0.1 => Allowance::Usual; "within the share")]
#[test_case(LARGE, Caller::Returning, 0.1 => Allowance::Longer; "returning within the share")]
#[test_case(SMALL, Caller::First, 0.9 => Allowance::Longer; "a small workspace")]
#[test_case(SMALL, Caller::Returning, 0.9 => Allowance::Longer; "a small workspace returns")]
fn requests_beyond_a_share_leave_room(workspace: u32, caller: Caller, random: f64) -> Allowance {
    let (now, gate) = full_gate();
    let workspace = Some(workspace);
    let applicant = Applicant {
        workspace,
        caller,
        standing: gate.shares.standing(now, workspace, caller, random),
    };
    gate.allowance(now, &applicant)
}
