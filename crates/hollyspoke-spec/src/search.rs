//! Exhaustive search of a specification's states, breadth first.

use std::hash::{Hash, Hasher};

use pathfinding::directed::bfs::{bfs, bfs_reach};

/// Gives the steps from a state.
pub type StepFunction<S> = Box<dyn Fn(&S) -> Vec<Step<S>>>;

/// Gives what is wrong with a state.
pub type CheckFunction<S> = Box<dyn Fn(&S) -> Option<String>>;

/// A specification: where it begins, its steps, and what must hold.
pub struct Specification<S> {
    /// The state at the beginning.
    pub initial: S,
    /// Gives the steps from a state, each with its name.
    pub steps: StepFunction<S>,
    /// Gives the promise that a state breaks.
    pub check_invariants: CheckFunction<S>,
    /// Gives what is wrong with a state in which everything has come to rest, faults aside: what
    /// should have been freed, answered or delivered by then.
    pub check_quiescence: CheckFunction<S>,
}

/// A step.
#[derive(Debug, Clone)]
pub struct Step<S> {
    /// Its name in traces.
    pub name: String,
    /// Whether it is a fault or somebody's free choice, which need not happen.
    pub optional: bool,
    /// The state after it.
    pub next: S,
}

/// What a search found.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// The states visited.
    pub states: usize,
    /// The most steps that some state needs at least.
    pub depth: usize,
    /// The shortest way to a state that is wrong.
    pub counterexample: Option<Counterexample>,
}

/// A way to a state that is wrong.
#[derive(Debug, Clone)]
pub struct Counterexample {
    /// What is wrong.
    pub violation: String,
    /// The steps.
    pub trace: Vec<String>,
}

/// A state with the number of steps to it, which does not count when states are compared.
#[derive(Debug, Clone)]
struct Visited<S> {
    /// The state.
    state: S,
    /// The steps to it.
    depth: usize,
}

impl<S: PartialEq> PartialEq for Visited<S> {
    fn eq(&self, other: &Visited<S>) -> bool {
        self.state == other.state
    }
}

impl<S: Eq> Eq for Visited<S> {}

impl<S: Hash> Hash for Visited<S> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.state.hash(state);
    }
}

impl<S: Clone + Eq + Hash + std::fmt::Debug> Specification<S> {
    /// Searches all states.
    pub fn search(&self) -> Outcome {
        let start = Visited { state: self.initial.clone(), depth: 0 };
        let (mut states, mut depth) = (0, 0);
        let mut violating = None;
        for visited in bfs_reach(start, |it| self.next(it)) {
            states += 1;
            depth = depth.max(visited.depth);
            if let Some(violation) = self.violation(&visited.state) {
                violating = Some((violation, visited.state));
                break;
            }
        }
        let counterexample = violating
            .map(|(violation, state)| Counterexample { violation, trace: self.trace(&state) });
        Outcome { states, depth, counterexample }
    }

    /// Gives the shortest ways to states, up to a number, that no further step leads on from.
    pub fn traces(&self, limit: usize) -> Vec<Vec<String>> {
        let start = Visited { state: self.initial.clone(), depth: 0 };
        let ends = bfs_reach(start, |it| self.next(it))
            .filter(|it| (self.steps)(&it.state).iter().all(|step| step.optional));
        ends.take(limit).map(|it| self.trace(&it.state)).collect()
    }

    /// Gives what is wrong with a state.
    fn violation(&self, state: &S) -> Option<String> {
        if let Some(violation) = (self.check_invariants)(state) {
            return Some(violation);
        }
        let is_quiescent = (self.steps)(state).iter().all(|step| step.optional);
        if is_quiescent { (self.check_quiescence)(state) } else { None }
    }

    /// Gives the states after one.
    fn next(&self, visited: &Visited<S>) -> Vec<Visited<S>> {
        let depth = visited.depth + 1;
        let steps = (self.steps)(&visited.state);
        steps.into_iter().map(|step| Visited { state: step.next, depth }).collect()
    }

    /// Gives the names of the steps on the shortest way to a state.
    fn trace(&self, target: &S) -> Vec<String> {
        let after = |state: &S| (self.steps)(state).into_iter().map(|it| it.next);
        let path = bfs(&self.initial, |it| after(it).collect::<Vec<_>>(), |it| it == target);
        let path = path.unwrap_or_default();
        let name = |pair: &[S]| {
            let steps = (self.steps)(&pair[0]);
            let step = steps.into_iter().find(|it| it.next == pair[1]);
            step.map(|it| it.name).unwrap_or_default()
        };
        path.windows(2).map(name).collect()
    }
}

/// The steps of one state as they are gathered.
#[derive(Debug)]
pub struct Steps<'a, S> {
    /// The state.
    state: &'a S,
    /// The steps so far.
    steps: Vec<Step<S>>,
}

impl<'a, S: Clone + PartialEq> Steps<'a, S> {
    /// Begins without steps.
    pub fn new(state: &'a S) -> Steps<'a, S> {
        Steps { state, steps: Vec::new() }
    }

    /// Adds a step that the protocol takes sooner or later.
    pub fn add(&mut self, name: impl Into<String>, change: impl FnOnce(&mut S)) {
        self.push(name.into(), false, change);
    }

    /// Adds a step that may or may not happen: a fault, or somebody's choice.
    pub fn add_optional(&mut self, name: impl Into<String>, change: impl FnOnce(&mut S)) {
        self.push(name.into(), true, change);
    }

    /// Gives the steps.
    pub fn finish(self) -> Vec<Step<S>> {
        self.steps
    }

    /// Adds a step, if it changes anything.
    fn push(&mut self, name: String, optional: bool, change: impl FnOnce(&mut S)) {
        let mut next = self.state.clone();
        change(&mut next);
        if next != *self.state {
            self.steps.push(Step { name, optional, next });
        }
    }
}
