// State machines as tables of transitions: state, input, next state and effect.
#pragma once

namespace puffinvane {

// One row: in `state`, `input` leads to `next` and runs `effect`, a member function of Subject.
template <typename Subject, typename State, typename Input, typename... Of>
struct Transition {
  State state;
  Input input;
  State next;
  void (Subject::*effect)(Of&...);
};

// Sets `state` and runs the effect of the row for its state and input. An input without a row in a state
// changes nothing: an event that comes late for an object that has moved on is dropped.
template <typename Transitions, typename Subject, typename State, typename Input, typename... Of>
void apply_transition(const Transitions& transitions, Subject& subject, State& state, Input input,
                      Of&... arguments) {
  for (const auto& transition : transitions) {
    if (transition.state == state && transition.input == input) {
      state = transition.next;
      (subject.*transition.effect)(arguments...);
      return;
    }
  }
}

}  // namespace puffinvane
