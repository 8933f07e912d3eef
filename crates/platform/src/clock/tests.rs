use super::{Boot, Clock};

#[test]
fn the_clock_of_the_system_moves_forward() {
    let clock = Boot::new();
    let first = clock.now();
    assert!(clock.now() >= first);
    let steady = clock.steady();
    assert!(clock.steady() >= steady);
}
