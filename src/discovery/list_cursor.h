// Where a watch stands in discovery's sequence of changes: which index the next call asks after, whether it
// is time to ask for all endpoints, and what a line of a call says. Connections and timers are not used here.
#pragma once

#include <xxhash.h>

#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>

#include "src/discovery/discovery.h"

namespace puffinvane {

// What a call asks for: all endpoints, or those that changed after an index.
enum class CallScope { FullList, Changes };

// Discovery sent the list that is held already.
struct ListUnchanged {};

// Discovery answered a call with something other than a list.
struct CallFailed {
  enum class Reason { InvalidHttp, HttpStatus };
  Reason reason = Reason::InvalidHttp;
  int http_status = 0;  // where the reason is HttpStatus
};

// What came of a call or of one line of it.
using PollResult = std::variant<EndpointList, ListUnchanged, CallFailed, ListError>;

// Owned by a DiscoveryWatch, on the event loop's thread. Times are monotonic, in seconds.
class ListCursor {
 public:
  // held_index: of the list that is held from before; 0: none is held.
  ListCursor(DiscoveryMode mode, std::int64_t held_index) : mode_(mode), held_index_(held_index) {}

  // Decides what the next call asks for, and returns the index to ask after; 0 asks for everything.
  std::int64_t begin_call(double now);
  // Reads a line that is not blank. A list that is returned counts as held from then on; a ListError leaves
  // what is held as it is.
  PollResult on_line(std::string_view line, double now);
  // A call ended without an answer: discovery may have restarted, and may count its changes from anew.
  void on_call_unanswered() { has_unanswered_call_ = true; }
  // Another discovery may count its changes differently. Where asking is work the index held is kept.
  void on_source_changed();
  // What is held can't be trusted: the next call asks for everything.
  void reset();

  bool holds_list() const { return held_index_ > 0; }
  CallScope call_scope() const { return call_scope_; }
  // A line of the current call has come that is not blank.
  bool has_call_line() const { return has_call_line_; }
  double full_list_at() const { return full_list_at_; }

 private:
  bool is_full_list_due(double now) const;
  bool is_held_text(std::string_view line) const;
  std::optional<ListError> find_sequence_fault(const EndpointList& list);
  void note_full_list(std::string_view text, double now);

  const DiscoveryMode mode_;
  ListParser parser_;
  std::int64_t held_index_;
  // All changes up to it are known to have come, as the first line of a call is complete; 0: no list yet.
  std::int64_t complete_index_ = 0;
  // The last full list: when it came, its length, and its hash as long as no change has come since.
  double full_list_at_ = 0;
  std::size_t full_list_bytes_ = 0;
  std::optional<XXH64_hash_t> full_list_hash_;
  CallScope call_scope_ = CallScope::Changes;
  bool has_call_line_ = false;
  bool has_unanswered_call_ = false;  // since the last full list
  bool was_empty_snapshot_ = false;   // the last snapshot was empty
};

}  // namespace puffinvane
