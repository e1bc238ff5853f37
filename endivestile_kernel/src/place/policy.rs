//! Registry of placement policies.

use rand::rngs::SmallRng;

use super::policy_input::PolicyInput;

/// Policy to use if the rules name an unknown one.
const DEFAULT_POLICY: &str = "earliest";

/// Chooses a free backend, or `None` to leave the task in the queue.
pub(crate) type PolicyFn = fn(&PolicyInput<'_>, &mut SmallRng) -> Option<usize>;

/// A placement policy, registered by `inventory::submit!`.
#[derive(Debug)]
pub struct PolicyPlugin {
    /// Name in the rules.
    pub name: &'static str,
    /// Chooses a free backend, or `None` to leave the task in the queue.
    pub choose: fn(&PolicyInput<'_>, &mut SmallRng) -> Option<usize>,
}

inventory::collect!(PolicyPlugin);

inventory::submit! {
    PolicyPlugin { name: DEFAULT_POLICY, choose: earliest }
}

/// Chooses the fastest free backend unless waiting for a faster one finishes
/// sooner.
fn earliest(input: &PolicyInput<'_>, _: &mut SmallRng) -> Option<usize> {
    let at = input.fastest()?;
    input.beats_waiting(at).then_some(at)
}

/// Returns the names of all policies, sorted.
pub fn policy_names() -> Vec<&'static str> {
    let mut names: Vec<_> = inventory::iter::<PolicyPlugin>().map(|plugin| plugin.name).collect();
    names.sort_unstable();
    names
}

/// Returns the policy with this name, or the default one.
pub(crate) fn policy_by_name(name: &str) -> PolicyFn {
    let find = |name: &str| {
        inventory::iter::<PolicyPlugin>().find(|plugin| plugin.name == name).map(|p| p.choose)
    };
    find(name).or_else(|| find(DEFAULT_POLICY)).unwrap_or(earliest)
}
