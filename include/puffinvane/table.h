// Decisions as rows of state, input, next state and effect. An input without a row in a state changes
// nothing: what comes late for an object that has moved on is dropped.
#pragma once

namespace puffinvane {

template <typename Subject, typename State, typename Input, typename... Of>
struct Transition {
  State state;
  Input input;
  State next;
  void (Subject::*effect)(Of&...);
};

template <typename Rows, typename Subject, typename State, typename Input, typename... Of>
void apply_transition(const Rows& rows, Subject& subject, State& state, Input input, Of&... of) {
  for (const auto& row : rows) {
    if (row.state == state && row.input == input) return state = row.next, (subject.*row.effect)(of...);
  }
}

}  // namespace puffinvane
