//! Exhaustive breadth-first search of a specification's states.

use std::hash::{Hash, Hasher};

use pathfinding::directed::bfs::{bfs, bfs_reach};

/// Returns the steps from a state.
pub type StepFunction<S> = Box<dyn Fn(&S) -> Vec<Step<S>>>;

/// Checks a state and describes the violation, if there is one.
pub type CheckFunction<S> = Box<dyn Fn(&S) -> Option<String>>;

/// A specification: its initial state, its steps, and the properties that must hold.
pub struct Specification<S> {
    /// The initial state.
    pub initial: S,
    /// Returns the named steps from a state.
    pub steps: StepFunction<S>,
    /// Describes the invariant that a state violates, if any.
    pub check_invariants: CheckFunction<S>,
    /// Describes what is unfinished in a quiescent state, one with optional steps only: memory,
    /// requests or messages that should have been freed, answered or delivered by then.
    pub check_quiescence: CheckFunction<S>,
}

/// A step from one state to the next.
#[derive(Debug, Clone)]
pub struct Step<S> {
    /// The name in traces.
    pub name: String,
    /// Whether the step need not happen: a fault, or a choice of a caller or a box.
    pub optional: bool,
    /// The state after the step.
    pub next: S,
}

/// The result of a search.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// The number of states visited.
    pub states: usize,
    /// The greatest distance of a state from the initial state, in steps.
    pub depth: usize,
    /// The shortest trace to a state that violates a property.
    pub counterexample: Option<Counterexample>,
}

/// A trace to a state that violates a property.
#[derive(Debug, Clone)]
pub struct Counterexample {
    /// A description of the violation.
    pub violation: String,
    /// The names of the steps, in order.
    pub trace: Vec<String>,
}

/// A state and its depth. Equality and hash ignore the depth.
#[derive(Debug, Clone)]
struct Visited<S> {
    /// The state.
    state: S,
    /// The number of steps from the initial state.
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
    /// Searches all reachable states, up to the first violation.
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

    /// Returns the shortest traces to quiescent states, up to `limit` of them.
    pub fn traces(&self, limit: usize) -> Vec<Vec<String>> {
        let start = Visited { state: self.initial.clone(), depth: 0 };
        let ends = bfs_reach(start, |it| self.next(it))
            .filter(|it| (self.steps)(&it.state).iter().all(|step| step.optional));
        ends.take(limit).map(|it| self.trace(&it.state)).collect()
    }

    /// Describes the property that a state violates, if any.
    fn violation(&self, state: &S) -> Option<String> {
        if let Some(violation) = (self.check_invariants)(state) {
            return Some(violation);
        }
        let is_quiescent = (self.steps)(state).iter().all(|step| step.optional);
        if is_quiescent { (self.check_quiescence)(state) } else { None }
    }

    /// Returns the successors of a state.
    fn next(&self, visited: &Visited<S>) -> Vec<Visited<S>> {
        let depth = visited.depth + 1;
        let steps = (self.steps)(&visited.state);
        steps.into_iter().map(|step| Visited { state: step.next, depth }).collect()
    }

    /// Returns the names of the steps on the shortest path to a state.
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

/// Collects the steps from one state.
#[derive(Debug)]
pub struct Steps<'a, S> {
    /// The state before the steps.
    state: &'a S,
    /// The steps collected so far.
    steps: Vec<Step<S>>,
}

impl<'a, S: Clone + PartialEq> Steps<'a, S> {
    /// Creates an empty collection.
    pub fn new(state: &'a S) -> Steps<'a, S> {
        Steps { state, steps: Vec::new() }
    }

    /// Adds a step that the protocol takes eventually.
    pub fn add(&mut self, name: impl Into<String>, change: impl FnOnce(&mut S)) {
        self.push(name.into(), false, change);
    }

    /// Adds a step that need not happen: a fault, or a choice of a caller or a box.
    pub fn add_optional(&mut self, name: impl Into<String>, change: impl FnOnce(&mut S)) {
        self.push(name.into(), true, change);
    }

    /// Returns the collected steps.
    pub fn finish(self) -> Vec<Step<S>> {
        self.steps
    }

    /// Adds a step if it changes the state.
    fn push(&mut self, name: String, optional: bool, change: impl FnOnce(&mut S)) {
        let mut next = self.state.clone();
        change(&mut next);
        if next != *self.state {
            self.steps.push(Step { name, optional, next });
        }
    }
}
