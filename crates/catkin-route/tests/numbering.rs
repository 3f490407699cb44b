//! Names of targets in messages.

mod common;

use {
    catkin_route::{
        directory::Directory,
        numbering::{ByTarget, Numbering, Numberings},
    },
    common::{at, entry},
    proptest::prelude::*,
    std::sync::Arc,
};

fn directory(ids: &[&str]) -> Directory {
    let mut directory = Directory::default();
    for id in ids {
        directory.put(at(0), entry(id, 1));
    }
    directory
}

fn values(ids: &[&str]) -> Vec<(Arc<str>, u32)> {
    ids.iter().map(|id| Arc::from(*id)).zip(10..).collect()
}

fn sorted(mut values: Vec<(Arc<str>, u32)>) -> Vec<(Arc<str>, u32)> {
    values.sort();
    values
}

proptest! {
    /// Counts that are taken for those of another target would let the leader overfill
    /// one and keep the other idle.
    #[test]
    fn each_value_stays_with_its_target(
        known in prop::collection::btree_set("[a-d]{1,3}", 0..40),
        counted in prop::collection::btree_set("[a-d]{1,3}", 0..40),
    ) {
        let known: Vec<&str> = known.iter().map(String::as_str).collect();
        let counted: Vec<&str> = counted.iter().map(String::as_str).collect();
        let numbering = Numbering::new(&directory(&known));
        let values = values(&counted);
        for numbering in [Some(&numbering), None] {
            let bytes = postcard::to_stdvec(&ByTarget::new(values.clone(), numbering)).unwrap();
            let received: ByTarget<u32> = postcard::from_bytes(&bytes).unwrap();
            prop_assert_eq!(received.resolve(numbering), Some(sorted(values.clone())).map(|v| {
                // Numbered targets follow the named ones.
                let is_named = |(id, _): &(Arc<str>, u32)| numbering.is_none() || !known.contains(&&**id);
                let (named, numbered): (Vec<_>, Vec<_>) = v.into_iter().partition(is_named);
                named.into_iter().chain(numbered).collect::<Vec<_>>()
            }));
        }
    }
}

/// A leader that knows other targets must not guess which ones are meant.
#[test]
fn unknown_numbers_are_refused() {
    let numbering = Numbering::new(&directory(&["a", "b", "c"]));
    let counts = ByTarget::new(values(&["c"]), Some(&numbering));
    assert_eq!(counts.clone().resolve(None), None);
    assert_eq!(counts.resolve(Some(&Numbering::new(&directory(&["a"])))), None);
}

/// A report may cross a change of the directory: the leader must still read it by
/// the older numbers.
#[test]
fn earlier_numberings_are_kept_for_a_while() {
    let mut numberings = Numberings::default();
    let mut directory = directory(&["b", "c"]);
    let old = numberings.newest(&directory);
    let counts = ByTarget::new(values(&["b"]), Some(&old));
    directory.put(at(1), entry("a", 1));
    let new = numberings.newest(&directory);
    assert_ne!(old.id(), new.id());
    let known = numberings.find(old.id());
    assert_eq!(counts.resolve(known.as_deref()), Some(values(&["b"])));
    for i in 0..40 {
        directory.put(at(2), entry(&format!("x{i}"), 1));
        numberings.newest(&directory);
    }
    assert!(numberings.find(old.id()).is_none(), "the leader would keep every earlier directory");
    // A process that only reports keeps the newest one.
    let mut own = Numberings::new(1);
    let old = own.newest(&Directory::default());
    own.newest(&directory);
    assert!(own.find(old.id()).is_none());
}

/// Dozens of targets in each of thousands of reports a second must not take an id
/// each.
#[test]
fn numbered_targets_take_few_bytes() {
    let ids: Vec<String> = (0..3_000).map(|i| format!("i-{i:010x}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let numbering = Numbering::new(&directory(&ids));
    let some: Vec<&str> = ids.iter().copied().step_by(150).collect();
    let size = postcard::to_stdvec(&ByTarget::new(values(&some), Some(&numbering))).unwrap().len();
    assert!(size < 70, "{size} bytes for {} targets", some.len());
}
