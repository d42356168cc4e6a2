// State machines as tables of transitions. Each row has a state, an input, the next state and an effect.
#pragma once

namespace puffinvane {

// One row: in `state`, `input` sets the state to `next` and calls `effect`, a member function of Subject that
// takes Arguments.
template <typename Subject, typename State, typename Input, typename... Arguments>
struct Transition {
  State state;
  Input input;
  State next;
  void (Subject::*effect)(Arguments&...);
};

// Applies the row for `state` and `input`: updates `state`, then calls the effect. Without such a row nothing
// happens, so that an event that arrives too late for the current state is ignored.
template <typename Transitions, typename Subject, typename State, typename Input, typename... Arguments>
void apply_transition(const Transitions& transitions, Subject& subject, State& state, Input input,
                      Arguments&... arguments) {
  for (const auto& transition : transitions) {
    if (transition.state == state && transition.input == input) {
      state = transition.next;
      (subject.*transition.effect)(arguments...);
      return;
    }
  }
}

}  // namespace puffinvane
