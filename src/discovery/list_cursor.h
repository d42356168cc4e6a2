// The position of a watch in discovery's sequence of changes: decides which index the next call asks after
// and whether it asks for all endpoints, and interprets the lines of a response. Uses no connections or
// timers.
#pragma once

#include <xxhash.h>

#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>

#include "src/discovery/discovery.h"

namespace puffinvane {

// What a call asks for: all endpoints, or only those that changed after an index.
enum class CallScope { FullList, Changes };

// How all endpoints are asked for. WatchFromStart: by a watch after index 0, which some discovery services
// answer with the whole list. Others answer it with what differs from their first list; that doesn't name an
// endpoint that joined and left. WholeList: by a call that is no watch, which is answered with the whole list
// (protocol: "Discovery").
enum class FullListForm { WatchFromStart, WholeList };

// Discovery has sent again the full list that this process already holds.
struct ListUnchanged {};

// Discovery has answered a call with something other than lists.
struct CallFailed {
  enum class Reason { InvalidHttp, HttpStatus };
  Reason reason = Reason::InvalidHttp;
  int http_status = 0;  // set if the reason is HttpStatus
};

// The outcome of a call, or of one line of its response.
using CallOutcome = std::variant<EndpointList, ListUnchanged, CallFailed, ListError>;

// Owned by a DiscoveryWatch, on the event loop's thread. Times are monotonic, in seconds.
class ListCursor {
 public:
  // held_index: the index of a list kept from an earlier run or from the predecessor, if there is one.
  ListCursor(DiscoveryMode mode, std::optional<std::int64_t> held_index)
      : mode_(mode), held_index_(held_index), newest_index_(held_index) {}

  // Decides what the next call asks for and returns the index to ask after, 0 if it asks for all endpoints.
  std::int64_t begin_call(double now);
  // Interprets a non-blank line. A returned list counts as held from then on; after a ListError the list held
  // before remains.
  CallOutcome on_line(std::string_view line, double now);
  // A call has ended without an answer: discovery may have restarted, and its index may start again.
  void on_call_unanswered() { has_unanswered_call_ = true; }
  // The next call goes to another discovery service, whose index may differ. In pushed mode that call asks
  // for all endpoints; in on-request mode, where a full list is expensive, it still asks after the held
  // index.
  void on_source_changed();
  // The held list may be wrong: the next call asks for all endpoints.
  void reset();

  bool holds_list() const { return held_index_.has_value(); }
  std::int64_t held_index() const { return held_index_.value_or(0); }  // 0 if no list is held
  CallScope call_scope() const { return call_scope_; }
  // Whether the current call is a watch: later changes follow its first list.
  bool is_watch() const {
    return call_scope_ == CallScope::Changes || call_form_ == FullListForm::WatchFromStart;
  }
  // Endpoints may be held that are gone: the last call for all endpoints was answered with changes.
  bool lacks_whole_list() const { return lacks_whole_list_; }
  // The current call has told all that it was made for: it asked for the whole list and was answered, or it
  // asked for all endpoints and was answered with changes that may leave some out.
  bool is_next_call_due() const {
    return has_received_line_ && call_scope_ == CallScope::FullList && (!is_watch() || lacks_whole_list_);
  }
  // Whether the current call has received a non-blank line.
  bool has_received_line() const { return has_received_line_; }
  // Whether the current or the next call is expected to be answered by few bytes: by changes, or by a short
  // full list.
  bool is_call_cheap() const;
  bool is_next_call_cheap() const;
  // When the last full list was received.
  double full_list_at() const { return full_list_at_; }

 private:
  bool is_answer_cheap(CallScope scope) const;
  bool is_full_list_due(double now) const;
  bool is_full_list(const EndpointList& list, bool answers_call_for_all) const;
  void request_whole_list();
  bool matches_last_full_list(std::string_view line) const;
  std::optional<ListError> check_sequence(const EndpointList& list);
  std::optional<ListError> check_index(const EndpointList& list);
  void record_full_list(std::string_view text, double now);

  const DiscoveryMode mode_;
  ListParser parser_;
  std::optional<std::int64_t> held_index_;
  // The highest index accepted from this source, and how many lists in a row were older than that.
  std::optional<std::int64_t> newest_index_;
  int older_lists_in_a_row_ = 0;
  // The index of the last first line of a call or snapshot. Those are complete: all changes up to this index
  // have been received.
  std::optional<std::int64_t> complete_index_;
  // The last full list: when it was received, its length, and its hash, which is unset once a change has been
  // received after it.
  double full_list_at_ = 0;
  std::size_t full_list_bytes_ = 0;
  std::optional<XXH64_hash_t> full_list_hash_;
  CallScope call_scope_ = CallScope::Changes;
  FullListForm call_form_ = FullListForm::WatchFromStart;       // of the last call for all endpoints
  FullListForm next_list_form_ = FullListForm::WatchFromStart;  // of the next call for all endpoints
  bool lacks_whole_list_ = false;
  bool is_source_new_ = false;  // no full list has been received since on_source_changed()
  bool has_received_line_ = false;
  bool is_answered_by_full_lists_ = false;  // the last call for changes was answered by a full list
  bool has_unanswered_call_ = false;        // since the last full list
  bool was_last_snapshot_empty_ = false;    // whether or not it was accepted
};

}  // namespace puffinvane
