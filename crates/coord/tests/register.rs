//! Registers and backoff.

use std::time::Duration;

use corianderfork_coord::backoff::{Backoff, Config, spread};
use corianderfork_coord::register::{Offer, Register};
use proptest::prelude::*;
use proptest::test_runner::{Config as TestConfig, RngSeed};

proptest! {
    #![proptest_config(TestConfig { rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..TestConfig::default() })]

    // Revisions arrive by watch, read and peers, late and out of order. If the
    // last message to arrive won, a delayed one would undo a configuration that
    // is in force.
    #[test]
    fn offer_any_order_never_goes_back(offers in prop::collection::vec(0u64..20, 1..60)) {
        let mut register = Register::default();
        let mut newest = 0;
        for revision in offers {
            let outcome = register.offer(revision, revision);
            prop_assert_eq!(outcome == Offer::Applied, revision > newest);
            newest = newest.max(revision);
            prop_assert_eq!(register.revision(), newest);
            prop_assert_eq!(register.get().copied().unwrap_or(0), newest);
        }
    }

    #[test]
    fn next_wait_any_seed_stays_in_upper_half(seed: u64) {
        let config = Config::new().first(Duration::from_millis(100)).max(Duration::from_secs(1));
        let mut backoff = Backoff::new(config, seed);
        for longest in [100, 200, 400, 800, 1_000, 1_000].map(Duration::from_millis) {
            let wait = backoff.next_wait();
            prop_assert!(wait >= longest / 2 && wait <= longest, "{:?} of {:?}", wait, longest);
        }
        backoff.reset();
        prop_assert!(backoff.next_wait() <= Duration::from_millis(100));
    }
}

// All processes notice the end of an outage at the same moment. If they called
// at once, they would overload the platform's service again.
#[test]
fn spread_many_seeds_fill_the_window() {
    let window = Duration::from_secs(10);
    let mut tenths = [0; 10];
    for seed in 0..1_000 {
        tenths[(spread(seed, window).as_millis() / 1_000) as usize] += 1;
    }
    assert!(tenths.iter().all(|&count| count > 60 && count < 140), "{tenths:?}");
}
