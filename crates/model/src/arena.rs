//! Append-only tables addressed by small `Copy` ids.
//!
//! Items are never removed from an [`Arena`]. A new configuration replaces the
//! whole fleet, so ids need no generation counter.

use std::marker::PhantomData;

/// A typed index into an [`Arena`].
pub trait Id: Copy + Eq + Ord + std::fmt::Debug {
    /// Returns the id of the item at `index`.
    fn from_index(index: usize) -> Self;
    /// Returns the index of the item.
    fn index(self) -> usize;
}

/// Defines a newtype id over a `u32` index.
#[macro_export]
macro_rules! id {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(u32);

        impl $crate::arena::Id for $name {
            fn from_index(index: usize) -> Self {
                Self(u32::try_from(index).expect("an arena holds fewer than 2^32 items"))
            }

            fn index(self) -> usize {
                self.0 as usize
            }
        }
    };
}

/// Items of type `T` addressed by ids of type `I`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arena<I, T> {
    items: Vec<T>,
    id: PhantomData<I>,
}

impl<I, T> Default for Arena<I, T> {
    fn default() -> Self {
        Self { items: Vec::new(), id: PhantomData }
    }
}

impl<I: Id, T> Arena<I, T> {
    /// Adds an item and returns its id.
    pub fn push(&mut self, item: T) -> I {
        let id = I::from_index(self.items.len());
        self.items.push(item);
        id
    }

    /// Returns the item with `id`, or `None` if it is out of range.
    pub fn get(&self, id: I) -> Option<&T> {
        self.items.get(id.index())
    }

    /// Returns the item with `id` mutably, or `None` if it is out of range.
    pub fn get_mut(&mut self, id: I) -> Option<&mut T> {
        self.items.get_mut(id.index())
    }

    /// Returns the number of items.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether the arena is empty.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Iterates over ids and items in insertion order.
    pub fn iter(&self) -> impl ExactSizeIterator<Item = (I, &T)> {
        self.items.iter().enumerate().map(|(index, item)| (I::from_index(index), item))
    }

    /// Iterates over all ids in insertion order.
    pub fn ids(&self) -> impl ExactSizeIterator<Item = I> + use<I, T> {
        (0..self.items.len()).map(I::from_index)
    }
}

impl<I: Id, T> std::ops::Index<I> for Arena<I, T> {
    type Output = T;

    fn index(&self, id: I) -> &T {
        &self.items[id.index()]
    }
}

impl<I: Id, T> std::ops::IndexMut<I> for Arena<I, T> {
    fn index_mut(&mut self, id: I) -> &mut T {
        &mut self.items[id.index()]
    }
}
