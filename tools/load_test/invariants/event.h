// Events that the load test observes on its sockets and in its stand-in endpoints. The numbers of sidecars
// and endpoints are never reused within a run. A request is identified by its X-Correlation-Id, which is new
// for every try of a client and for every tier.
#pragma once

#include <string>

namespace load_test {

struct Event {
  enum class Kind {
    RequestSent,  // the last byte was written to a sidecar; value: client timeout in seconds
    // The sidecar closed an idle connection while the request was being sent, without having read it; the
    // request is sent again.
    RequestCrossedClose,
    ResponseReceived,  // the response is complete; genuine: an endpoint produced it for this request
    ConnectionLost,    // the connection ended without a complete response
    Unreachable,       // the request could not be sent
    RequestCancelled,  // the client closed the connection
    AttemptFirstByte,  // an endpoint received the first byte of an attempt
    AttemptReceived,   // the endpoint received the whole attempt and may execute it from now on; value: work
                       // in seconds
    AttemptExecuted,   // the attempt took effect
    AttemptRefused,    // the endpoint declared that it did not execute the attempt
    AttemptResponded,  // the endpoint sent any other response
    AttemptClosed,     // the connection of the attempt ended before the response
    Notified,          // an endpoint list with the endpoint in this state was sent to a sidecar
    EndpointStarted,   // an endpoint started and is in slow start; value: its full capacity, in seconds of
                       // work per second
    EndpointOverloaded,  // an endpoint in slow start got more work than it can do and stopped
    SidecarUp,
    SidecarDown,  // the scenario or the failure of its machine stopped it
    SidecarLeaving,
    SidecarCrashed,
    SidecarPaused,
    SidecarResumed,
    SidecarCpuWait,  // the sidecar was runnable but had no core; value: for how many seconds before 'at'
  };
  enum class State { Ready, Draining, Gone };

  Kind kind;
  double at = 0;        // when the load test observed it
  double earliest = 0;  // the earliest time at which it can have happened
  std::string request = {};
  int sidecar = -1;
  int endpoint = -1;
  std::string request_class = {}, key = {};
  int group = 0;  // group of the endpoint
  int status = 0;
  bool genuine = false;
  double value = 0;
  State state = State::Ready;
};

class Observer {
 public:
  virtual ~Observer() = default;
  virtual void observe(const Event& event) = 0;
};

}  // namespace load_test
