//! Policies to compare with: the usual ones of load balancers.

use rand::Rng;
use rand::rngs::SmallRng;

use super::policy::PolicyPlugin;
use super::policy_input::PolicyInput;

inventory::submit! {
    PolicyPlugin { name: "random", choose: random }
}

inventory::submit! {
    PolicyPlugin { name: "round-robin", choose: round_robin }
}

inventory::submit! {
    PolicyPlugin { name: "least-outstanding", choose: least_outstanding }
}

inventory::submit! {
    PolicyPlugin { name: "two-choices", choose: two_choices }
}

fn random(choice: &PolicyInput<'_>, rng: &mut SmallRng) -> Option<usize> {
    choice.next_free(rng.random_range(0..choice.count().max(1)))
}

fn round_robin(choice: &PolicyInput<'_>, _: &mut SmallRng) -> Option<usize> {
    choice.next_free(choice.cursor())
}

fn least_outstanding(choice: &PolicyInput<'_>, rng: &mut SmallRng) -> Option<usize> {
    let count = choice.count();
    let first = rng.random_range(0..count.max(1));
    let around = (0..count).map(|step| (first + step) % count);
    around.filter(|at| choice.free(*at)).min_by_key(|at| choice.outstanding(*at))
}

fn two_choices(choice: &PolicyInput<'_>, rng: &mut SmallRng) -> Option<usize> {
    let one = random(choice, rng)?;
    let two = random(choice, rng)?;
    Some(if choice.outstanding(two) < choice.outstanding(one) { two } else { one })
}
