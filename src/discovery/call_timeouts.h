// How long each stage of a call to discovery may take. Noticing that it took longer is the watch's.
#pragma once

#include "src/discovery/discovery.h"
#include "src/discovery/list_cursor.h"

namespace puffinvane {

// What has come of the current call.
struct CallProgress {
  CallScope scope = CallScope::Changes;
  bool has_partial_list = false;  // a list has begun to arrive
  bool has_full_list = false;     // a full list has come since the stage began
  double last_bytes_after_s = 0;  // from the beginning of the stage until the last byte came
};

// Owned by a DiscoveryWatch, on the event loop's thread. All durations are in seconds.
class CallTimeouts {
 public:
  explicit CallTimeouts(DiscoveryMode mode) : mode_(mode) {}

  // From the start of a connection until it is up.
  double connect_s() const;
  // From the request until the response counts as begun.
  double response_s(const CallProgress& progress) const;
  // From the request, or from the last line where asking is work, until the call is renewed.
  double watch_s(const CallProgress& progress) const;

  // An answer that takes its time in full came so long after the request.
  void on_answer(double duration_s);
  // A list was still arriving at the timeout of that stage: the next one has twice as long.
  void on_list_late_for_response();
  void on_list_late_for_renewal();

 private:
  double first_answer_s() const;
  double arriving_list_s(const CallProgress& progress) const;
  void extend_list_timeout(double min_s);

  const DiscoveryMode mode_;
  double list_s_ = 0;  // for a list to arrive, by how long the last one took
};

}  // namespace puffinvane
