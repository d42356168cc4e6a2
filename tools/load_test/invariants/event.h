// What was seen on sockets and in effects. Sidecars and endpoints are numbers that are never used twice in a
// run; a request is known by its X-Correlation-Id, which is new with every try and at every tier.
#pragma once

#include <string>

namespace load_test {

struct Event {
  enum class Kind {
    Offered,          // its last byte was written to a sidecar; figure: seconds its caller waits
    Crossed,          // it met a kept connection's close and is sent again: the sidecar never read it
    Answered,         // the last byte of an answer came; genuine: made by an endpoint for this very request
    Broken,           // its connection ended with no whole answer
    Unreachable,      // it could not be written at all
    Withdrawn,        // its caller closed the connection
    FirstByte,        // of an attempt, at an endpoint
    Begun,            // the last byte of an attempt came; it may run from now on; figure: its work
    Ran,              // its effect happened
    TurnedAway,       // the endpoint said that it never ran
    AttemptAnswered,  // the endpoint answered it otherwise
    AttemptEnded,     // its connection ended before an answer
    Notified,         // a list that was written to a sidecar: endpoint and state
    Started,          // an endpoint, fresh; figure: what it does in a second when warm
    FellOver,         // an endpoint that was pushed over
    SidecarUp,
    SidecarDown,  // by the scenario's will, or with its machine
    SidecarLeaving,
    SidecarCrashed,
    SidecarPaused,
    SidecarResumed,
    SidecarStarved,  // it waited for a core; figure: seconds, up to 'at'
  };
  enum class State { Ready, Draining, Gone };

  Kind kind;
  double at = 0;     // when it was seen
  double since = 0;  // the earliest that it can have happened
  std::string request = {};
  int sidecar = -1;
  int endpoint = -1;
  std::string request_class = {}, key = {};
  int group = 0;  // of the endpoint
  int status = 0;
  bool genuine = false;
  double figure = 0;
  State state = State::Ready;
};

class Observer {
 public:
  virtual ~Observer() = default;
  virtual void observe(const Event& event) = 0;
};

}  // namespace load_test
