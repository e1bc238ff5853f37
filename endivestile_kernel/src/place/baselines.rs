//! Standard load-balancing policies, as baselines for comparison.

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

fn random(input: &PolicyInput<'_>, rng: &mut SmallRng) -> Option<usize> {
    input.next_free(rng.random_range(0..input.count().max(1)))
}

fn round_robin(input: &PolicyInput<'_>, _: &mut SmallRng) -> Option<usize> {
    input.next_free(input.cursor())
}

fn least_outstanding(input: &PolicyInput<'_>, rng: &mut SmallRng) -> Option<usize> {
    let count = input.count();
    let first = rng.random_range(0..count.max(1));
    let around = (0..count).map(|step| (first + step) % count);
    around.filter(|at| input.is_free(*at)).min_by_key(|at| input.outstanding(*at))
}

fn two_choices(input: &PolicyInput<'_>, rng: &mut SmallRng) -> Option<usize> {
    let one = random(input, rng)?;
    let two = random(input, rng)?;
    Some(if input.outstanding(two) < input.outstanding(one) { two } else { one })
}
