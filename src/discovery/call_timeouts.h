// The timeout of each stage of a call to discovery. DiscoveryWatch checks whether it has elapsed.
#pragma once

#include "src/discovery/discovery.h"
#include "src/discovery/list_cursor.h"

namespace puffinvane {

// How far the current call has got.
struct CallProgress {
  CallScope scope = CallScope::Changes;
  bool has_partial_list = false;  // a list has been received in part
  bool has_full_list = false;     // a full list was received in this stage
  double last_bytes_after_s = 0;  // from the start of the stage to the last byte received
  bool is_answer_cheap = false;   // the current call will be answered by few bytes
  bool is_renewal_cheap = false;  // the next call will be answered by few bytes
};

// Owned by a DiscoveryWatch, on the event loop's thread. All durations are in seconds.
class CallTimeouts {
 public:
  explicit CallTimeouts(DiscoveryMode mode) : mode_(mode) {}

  // From the start of a connection attempt until the connection is established.
  double connect_timeout_s() const;
  // From sending the request until the first answer: a line of the response or, for a call for changes in
  // pushed mode, the response head. Pushed mode: short if the answer is, but at least twice the time of the
  // last answer, and doubles with each consecutive call that isn't answered in time, from the third on. So
  // does connect_timeout_s().
  double response_timeout_s(const CallProgress& progress) const;
  // Until the call is replaced by a new one. Pushed mode: from sending the request for a call for changes,
  // from the first list for a call for all endpoints. On-request mode: from the last line received.
  double watch_timeout_s(const CallProgress& progress) const;

  // A connection was not established or a call not answered in time; a call was answered that long after it
  // was sent.
  void on_call_unanswered();
  void on_call_answered(double after_s);
  // The first list or blank line of a call was received this long after the request. The next list may take
  // twice as long. Not for calls for changes in pushed mode, whose response head is the answer.
  void record_response_time(double duration_s);
  // response_timeout_s() or watch_timeout_s() has elapsed while a list was being received. The next list may
  // take twice as long.
  void on_list_late_for_response();
  void on_list_late_for_renewal();
  // Pushed mode, for a list that is being received: how long it may pause before it counts as cut off. The
  // pause doubles with each consecutive list that was cut off, from the third on, so that a slow list is
  // received in the end.
  double partial_list_pause_s() const;
  void on_list_cut_off();
  void on_list_complete();

 private:
  double min_response_timeout_s() const;
  double retry_timeout_s(double first_s, double max_s) const;
  double arriving_list_timeout_s(const CallProgress& progress) const;
  void extend_list_timeout(double min_s);

  // Assumed of an agent that hasn't answered yet.
  static constexpr double kInitialAnswerSeconds = 0.075;

  static double doubled_after_grace(double first_s, double max_s, int faults_in_a_row);

  const DiscoveryMode mode_;
  int unanswered_in_a_row_ = 0;
  int cut_off_in_a_row_ = 0;
  double last_answer_s_ = kInitialAnswerSeconds;  // how long it took
  double list_timeout_s_ = 0;                     // how long a list may take, based on earlier lists
};

}  // namespace puffinvane
