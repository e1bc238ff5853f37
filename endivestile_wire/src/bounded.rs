//! Lists in request bodies whose length is limited.

use std::fmt;
use std::marker::PhantomData;

use serde::de::{Deserialize, Deserializer, IgnoredAny, SeqAccess, Visitor};

/// Deserializes a list and keeps at most one element more than `MAX`, which shows that the list
/// is too long. A decoded element takes many times the memory of its text.
///
/// # Errors
///
/// Those of the elements that are kept, and of a value that is not a list.
pub fn list<'de, D, T, const MAX: usize>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    deserializer.deserialize_seq(ListVisitor::<T, MAX>(PhantomData))
}

struct ListVisitor<T, const MAX: usize>(PhantomData<T>);

impl<'de, T: Deserialize<'de>, const MAX: usize> Visitor<'de> for ListVisitor<T, MAX> {
    type Value = Vec<T>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Vec<T>, A::Error> {
        let mut elements = Vec::new();
        while elements.len() <= MAX {
            let Some(element) = seq.next_element()? else { return Ok(elements) };
            elements.push(element);
        }
        while seq.next_element::<IgnoredAny>()?.is_some() {}
        Ok(elements)
    }
}
