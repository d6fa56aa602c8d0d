//! Difference between two lists.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

use serde::{Deserialize, Serialize};

/// A step from an old list to a new one. The steps go through both lists in order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
enum ListStep<T> {
    /// The next elements of the old list are in the new one.
    Keep(u32),
    /// The next elements of the old list are not in the new one.
    Skip(u32),
    /// These elements are new.
    Insert(Vec<T>),
}

/// Difference between two lists, from which the new one follows exactly, with the order of its elements.
/// An element that changed is left out and inserted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListDelta<T> {
    steps: Vec<ListStep<T>>,
}

impl<T: Clone + PartialEq> ListDelta<T> {
    /// Returns the difference between two lists. Elements are looked for by a key, which elements that are
    /// equal share.
    pub fn between<'a, K: Eq + Hash>(old: &'a [T], new: &'a [T], key: impl Fn(&'a T) -> K) -> Self {
        let mut delta = Self { steps: Vec::new() };
        let (mut old_next, mut new_next) = (0, 0);
        for (old_index, new_index) in common_elements(old, new, key) {
            delta.skip(old_index - old_next);
            delta.insert(&new[new_next..new_index]);
            delta.keep();
            (old_next, new_next) = (old_index + 1, new_index + 1);
        }
        delta.skip(old.len() - old_next);
        delta.insert(&new[new_next..]);
        delta
    }

    /// Returns the new list; `None` where the old one isn't that of the difference.
    pub fn apply(&self, old: &[T]) -> Option<Vec<T>> {
        let mut new = Vec::with_capacity(old.len());
        let mut rest = old;
        for step in &self.steps {
            match step {
                ListStep::Keep(count) => {
                    let (kept, later) = rest.split_at_checked(*count as usize)?;
                    new.extend_from_slice(kept);
                    rest = later;
                }
                ListStep::Skip(count) => rest = rest.get(*count as usize..)?,
                ListStep::Insert(added) => new.extend_from_slice(added),
            }
        }
        rest.is_empty().then_some(new)
    }

    fn keep(&mut self) {
        match self.steps.last_mut() {
            Some(ListStep::Keep(count)) => *count += 1,
            _ => self.steps.push(ListStep::Keep(1)),
        }
    }

    fn skip(&mut self, count: usize) {
        if count > 0 {
            self.steps.push(ListStep::Skip(count as u32));
        }
    }

    fn insert(&mut self, added: &[T]) {
        if !added.is_empty() {
            self.steps.push(ListStep::Insert(added.to_vec()));
        }
    }
}

/// Returns the positions, in the old and the new list, of elements that both have in the same order: as
/// many as there are among those that are found by their key.
fn common_elements<'a, T: PartialEq, K: Eq + Hash>(
    old: &'a [T],
    new: &'a [T],
    key: impl Fn(&'a T) -> K,
) -> Vec<(usize, usize)> {
    let mut by_key: HashMap<K, VecDeque<usize>> = HashMap::with_capacity(old.len());
    for (old_index, element) in old.iter().enumerate() {
        by_key.entry(key(element)).or_default().push_back(old_index);
    }
    let mut pairs = Vec::new();
    for (new_index, element) in new.iter().enumerate() {
        let old_index = by_key.get_mut(&key(element)).and_then(VecDeque::pop_front);
        pairs.extend(old_index.map(|old_index| (old_index, new_index)));
    }
    pairs.retain(|(old_index, new_index)| old[*old_index] == new[*new_index]);
    longest_rising(&pairs)
}

/// Returns the longest part of a list of pairs in which the first numbers rise.
fn longest_rising(pairs: &[(usize, usize)]) -> Vec<(usize, usize)> {
    // Index of the pair with the lowest first number that ends a rising part of each length.
    let mut ends: Vec<usize> = Vec::new();
    let mut before = Vec::with_capacity(pairs.len());
    for (index, (first, _)) in pairs.iter().enumerate() {
        let length = ends.partition_point(|end| pairs[*end].0 < *first);
        before.push(length.checked_sub(1).map(|shorter| ends[shorter]));
        if length == ends.len() {
            ends.push(index);
        } else {
            ends[length] = index;
        }
    }
    let mut rising = Vec::with_capacity(ends.len());
    let mut next = ends.last().copied();
    while let Some(index) = next {
        rising.push(pairs[index]);
        next = before[index];
    }
    rising.reverse();
    rising
}
