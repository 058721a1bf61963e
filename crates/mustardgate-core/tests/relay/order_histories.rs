//! Histories of orders that the property test of the claims has found.

use super::order_claims::{
    Delivery::{Answered, Late},
    SLOTS, Simulation,
    Step::{ChangeLeader, EndUse, Execute, Load, Restart},
};

// Guards against LIMIT breaks by orders that were sent before a restart and change of leader.
#[test]
fn late_orders_of_before_a_restart_never_take_more_than_the_slots() {
    let steps = [
        Load(0, Answered),
        EndUse,
        Load(3, Answered),
        Load(4, Late),
        EndUse,
        Load(2, Answered),
        Load(1, Late),
        Restart,
        Load(0, Answered),
        Load(0, Answered),
        Execute(3_322_565_680_236_265_802),
        ChangeLeader,
        Load(1, Late),
    ];
    let mut simulation = Simulation::new(true);
    for step in &steps {
        simulation.apply(step);
        let largest = simulation.largest_held();
        assert!(largest <= SLOTS, "{largest} slots after {step:?}");
    }
}
