//! Ids and records as text.

use corianderfork_coord::claim::{Attempt, Id, Record, State, id::Error};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(6), failure_persistence: None, ..Config::default() })]

    #[test]
    fn record_any_comes_back(millis in 0u64..1 << 48, random: u64, attempt: u128, tag in 0..3usize) {
        let id = Id::issue(corianderfork_model::Time::from_millis(millis), random);
        prop_assert_eq!(id.issued().as_millis(), millis);
        prop_assert_eq!(id.to_string().parse(), Ok(id));
        let attempt = Attempt::from_u128(attempt);
        let state = [State::Claimed(attempt), State::Done(attempt), State::Abandoned(attempt)][tag];
        let record = Record { id, state };
        let text = serde_json::to_string(&record).expect("a record is plain data");
        prop_assert_eq!(text.len(), 47);
        prop_assert_eq!(serde_json::from_str::<Record>(&text).expect("its own text"), record);
    }

    #[test]
    fn record_of_any_text_does_not_panic(text in ".{0,60}") {
        let json = serde_json::to_string(&text).expect("a string");
        prop_assert!(serde_json::from_str::<Record>(&json).is_err());
    }
}

#[test]
fn parse_of_other_uuids_names_the_fault() {
    let parse = |text: &str| text.parse::<Id>();
    assert_eq!(parse("2f1b7d1e-7c1e-4d6a-9b1f-0c6d2b1a7e55"), Err(Error::Version(4)));
    assert_eq!(parse("017f22e2-79b0-7cc3-18c4-dc0c0c07398f"), Err(Error::Malformed));
    assert_eq!(parse("017f22e279b0-7cc3-98c4-dc0c0c07398f-"), Err(Error::Malformed));
    assert_eq!(parse("+17f22e279b07cc398c4dc0c0c07398f"), Err(Error::Malformed));
}
