//! The division of a process's memory among what callers can make it hold.

use mustardgate_core::buffers::{BufferLimits, ListenerRole, PLACE_BYTES};
use proptest::{prelude::*, test_runner::RngSeed};

/// Bytes in a megabyte.
const MEGABYTE: usize = 1024 * 1024;
/// Memory of the smallest node that the settings accept, in megabytes.
const SMALLEST_MB: usize = 64;

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(59), ..ProptestConfig::default() })]
    // Guards against nodes that are killed while each of their limits holds.
    #[test]
    fn all_limits_together_are_below_the_memory(memory_mb in SMALLEST_MB..65_536) {
        let limits = BufferLimits::within(memory_mb * MEGABYTE);
        prop_assert!(limits.largest_bytes() < memory_mb * MEGABYTE);
        prop_assert!(limits.places() * PLACE_BYTES <= limits.connection_bytes);
    }
}

// Guards against limits that leave the machines of deployments too few places for their callers.
#[test]
fn machines_of_all_sizes_have_places_and_a_queue() {
    let sizes = [SMALLEST_MB, 120, 160, 260, 512].map(|memory_mb| BufferLimits::within(memory_mb * MEGABYTE));
    let places = sizes.map(|limits| limits.places());
    assert_eq!(places, [168, 392, 552, 952, 1_960]);
    let queued = sizes.map(|limits| limits.queued_connections(ListenerRole::Callers));
    assert_eq!(queued, [42, 98, 138, 238, 490]);
}
